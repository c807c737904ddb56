#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/ColdPermits.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Platform/TableService.h>

#include <functional>
#include <vector>

namespace Carawaykeel::Ingress {

/// Asks the table service for the permits that ColdPermits decides on, and logs which servers are
/// cold.
class ColdPermitStore
{
public:
    /// Returns the instances that may hold permits.
    using LiveMembers = std::function<std::vector<Base::InstanceId>()>;

    /// How often the cold servers are looked at. A new permit is asked for after this time at most.
    static constexpr Base::Milliseconds PollInterval{100};
    /// Lines on servers that became cold or warm in one second. More are left out.
    static constexpr int MaxTransitionLines = 20;

    /// `serverPool`, `table` and `scheduler` must outlive the store and its pending calls.
    ColdPermitStore(Base::InstanceId self, Platform::TableService &table,
        Base::Scheduler &scheduler, Forwarding::ServerPool &serverPool, LiveMembers liveMembers,
        const Logging::Logger &log);

    /// Starts the periodic work. Call once.
    void start();

    /// Returns the number of permits that this instance holds.
    std::size_t heldCount() const { return m_permits.heldCount(m_scheduler.now()); }

private:
    void poll();
    void logTransitions();
    void run(const Forwarding::ColdPermitTask &task);
    void onRead(const Forwarding::ColdPermitTask &task, const Platform::RowsReply &reply,
        Base::Milliseconds sentAt);
    void end(const Forwarding::ColdPermitTask &task, const Forwarding::ColdPermitStep &step,
        bool isDone);

    Platform::TableService &m_table;
    Base::Scheduler &m_scheduler;
    Forwarding::ServerPool &m_serverPool;
    const LiveMembers m_liveMembers;
    const Logging::Logger &m_log;
    Forwarding::ColdPermits m_permits;
    Base::Milliseconds m_linesCountedSince;
    int m_transitionLines = 0;
};

} // namespace Carawaykeel::Ingress
