#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Platform/ChangeFeed.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Receives configurations from the table service and calls back with each one that is newer than
/// the last.
class ConfigurationSubscriber : public Platform::ChangeListener
{
public:
    using Pointer = std::shared_ptr<const Forwarding::RouterConfiguration>;
    using Decoder = std::function<Base::Result<Pointer>(std::string_view document)>;

    /// `key` is the key of the configuration's row.
    ConfigurationSubscriber(std::string key, Base::Scheduler &scheduler, Decoder decoder,
        std::function<void(Pointer)> onNewer, const Logging::Logger &log);

    void onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t version) override;
    void onChanges(const std::vector<Platform::RowChange> &changes) override;
    void onReachabilityChanged(bool isReachable) override;

    /// Call with the configuration of another instance, on the scheduler's thread.
    void onReceivedFromPeer(std::uint64_t version, const std::string &document);

    /// Returns true while the table service's changes arrive. Call on the scheduler's thread.
    bool isConnected() const { return m_isConnected; }

    /// The active document; empty before the first. Call on the scheduler's thread.
    const std::string &document() const { return m_document; }
    std::uint64_t version() const { return m_version; }

private:
    void decode(const std::string &document);

    const std::string m_key;
    Base::Scheduler &m_scheduler;
    const Decoder m_decoder;
    const std::function<void(Pointer)> m_onNewer;
    const Logging::Logger &m_log;
    bool m_isConnected = false;
    std::uint64_t m_version = 0;
    std::string m_document;
};

} // namespace Carawaykeel::Ingress
