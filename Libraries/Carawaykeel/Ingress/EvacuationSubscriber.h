#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/EvacuationRegisters.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Ingress/EvacuationTransport.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Platform/ChangeFeed.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Ingress {

/// Learns from the table service and from other instances which data centres are evacuated, applies
/// this to the server pool, and tells other instances. An evacuation is a row whose key is a prefix
/// followed by the name of the data centre. The row's value does not matter.
class EvacuationSubscriber : public Platform::ChangeListener
{
public:
    /// `onApplied` is called after the server pool has learned of all changes that came together.
    EvacuationSubscriber(std::string keyPrefix, Base::Scheduler &scheduler,
        Forwarding::ServerPool &serverPool, EvacuationTransport &transport,
        std::function<void()> onApplied, const Logging::Logger &log);

    void onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t version) override;
    void onChanges(const std::vector<Platform::RowChange> &changes) override;
    void onReachabilityChanged(bool) override { }

    /// Call with the evacuations that another instance reports, on the scheduler's thread. Replies
    /// if this instance knows of a newer state.
    void onPeerReport(
        const Base::InstanceName &from, std::span<const Forwarding::Evacuation> evacuations);

    /// Call on the scheduler's thread.
    const Forwarding::EvacuationRegisters &registers() const { return m_registers; }

private:
    std::optional<Base::DataCentre> dataCentreOf(std::string_view key) const;
    void onTableResults(std::span<const Forwarding::RegisterResult> results);
    void onRegistersChanged();
    void onChanged(const Forwarding::Evacuation &evacuation, std::string_view source);

    const std::string m_keyPrefix;
    Base::Scheduler &m_scheduler;
    Forwarding::ServerPool &m_serverPool;
    EvacuationTransport &m_transport;
    const std::function<void()> m_onApplied;
    const Logging::Logger &m_log;
    Forwarding::EvacuationRegisters m_registers;
};

} // namespace Carawaykeel::Ingress
