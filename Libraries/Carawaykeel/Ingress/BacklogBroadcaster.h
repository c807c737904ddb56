#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/ServerPool.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Carawaykeel::Ingress {

/// Broadcasts the backlogs of servers that process long prompts, so that other instances select
/// other servers. The servers' load reports arrive too late for this: a prompt is processed in less
/// time than a report takes.
class BacklogBroadcaster
{
public:
    using Sender = std::function<void(const std::vector<Forwarding::ServerBacklog> &)>;

    /// Changes within this time are sent in one message.
    static constexpr Base::Milliseconds BatchDelay{3};
    /// Minimum time between two messages in a fleet where each goes only to some of the members. A
    /// busy instance on a small VM would otherwise spend more time on reports than on requests.
    static constexpr Base::Milliseconds LargeFleetInterval{40};
    /// Smallest change at one server that is sent, unless the backlog falls to zero. A server
    /// processes this many tokens in about 20 ms.
    static constexpr Base::Tokens MinChange{2'000};

    BacklogBroadcaster(
        Base::Scheduler &scheduler, const Forwarding::ServerPool &serverPool, Sender sender);

    /// Sets the minimum time between two messages; 0 by default.
    void setMinInterval(Base::Milliseconds interval) { m_minInterval = interval; }

    /// Call after a prompt was sent to the server or processed by it.
    void onBacklogChanged(const Base::ServerName &server);

private:
    void sendChanges();

    Base::Scheduler &m_scheduler;
    const Forwarding::ServerPool &m_serverPool;
    const Sender m_sender;
    Base::Milliseconds m_minInterval;
    Base::Milliseconds m_nextSendAt;
    /// Last backlog that was sent for each server; servers without a backlog are left out.
    std::map<Base::ServerName, Base::Tokens> m_sentBacklogs;
    /// Servers whose backlog changed since the last broadcast.
    std::set<Base::ServerName> m_changed;
};

} // namespace Carawaykeel::Ingress
