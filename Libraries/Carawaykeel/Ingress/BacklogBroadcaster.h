#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/ServerPool.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Carawaykeel::Ingress {

/// Tells the other instances where long prompts are being read, so that they send elsewhere. What
/// servers report comes too late for it: a prompt is read in less time than a report takes.
class BacklogBroadcaster
{
public:
    using Sender = std::function<void(const std::vector<Forwarding::ServerBacklog> &)>;

    /// Changes within this time share a message.
    static constexpr Base::Milliseconds BatchDelay{3};
    /// A change of fewer tokens than this at one server is not worth a message: about 20 ms of
    /// reading.
    static constexpr Base::Tokens MinChange{2'000};

    BacklogBroadcaster(
        Base::Scheduler &scheduler, const Forwarding::ServerPool &servers, Sender sender);

    /// A prompt was sent to the server or read by it.
    void onBacklogChanged(const Base::ServerName &server);

private:
    void tell();

    Base::Scheduler &m_scheduler;
    const Forwarding::ServerPool &m_servers;
    const Sender m_sender;
    /// What the others think, where it is not nothing.
    std::map<Base::ServerName, Base::Tokens> m_told;
    /// Servers whose backlog changed since the last look.
    std::set<Base::ServerName> m_changed;
};

} // namespace Carawaykeel::Ingress
