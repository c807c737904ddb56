#include <Carawaykeel/Ingress/BacklogBroadcaster.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

BacklogBroadcaster::BacklogBroadcaster(
    Base::Scheduler &scheduler, const Forwarding::ServerPool &serverPool, Sender sender)
    : m_scheduler(scheduler)
    , m_serverPool(serverPool)
    , m_sender(std::move(sender))
{
}

void BacklogBroadcaster::onBacklogChanged(const Base::ServerName &server)
{
    const bool isScheduled = !m_changed.empty();
    m_changed.insert(server);
    if (!isScheduled) {
        m_scheduler.schedule(
            std::max(BatchDelay, m_nextSendAt - m_scheduler.now()), [this] { sendChanges(); });
    }
}

void BacklogBroadcaster::sendChanges()
{
    std::vector<Forwarding::ServerBacklog> changes;
    for (const auto &server : std::exchange(m_changed, {})) {
        const auto unprocessed = m_serverPool.unprocessedTokensAt(server);
        const auto it = m_sentBacklogs.find(server);
        const auto lastSent = it == m_sentBacklogs.end() ? Base::Tokens() : it->second;
        const auto change = std::max(unprocessed - lastSent, lastSent - unprocessed);
        const bool isCleared = unprocessed == Base::Tokens() && lastSent > Base::Tokens();
        if (change < MinChange && !isCleared)
            continue;
        if (isCleared) {
            m_sentBacklogs.erase(it);
        } else {
            m_sentBacklogs[server] = unprocessed;
        }
        changes.push_back({server, unprocessed});
    }
    if (changes.empty())
        return;
    m_nextSendAt = m_scheduler.now() + m_minInterval;
    m_sender(changes);
}

} // namespace Carawaykeel::Ingress
