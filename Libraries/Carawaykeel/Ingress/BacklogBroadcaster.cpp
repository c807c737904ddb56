#include <Carawaykeel/Ingress/BacklogBroadcaster.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

BacklogBroadcaster::BacklogBroadcaster(
    Base::Scheduler &scheduler, const Forwarding::ServerPool &servers, Sender sender)
    : m_scheduler(scheduler)
    , m_servers(servers)
    , m_sender(std::move(sender))
{
}

void BacklogBroadcaster::onBacklogChanged(const Base::ServerName &server)
{
    const bool isDue = !m_changed.empty();
    m_changed.insert(server);
    if (!isDue)
        m_scheduler.schedule(BatchDelay, [this] { tell(); });
}

void BacklogBroadcaster::tell()
{
    std::vector<Forwarding::ServerBacklog> news;
    for (const auto &server : std::exchange(m_changed, {})) {
        const auto unread = m_servers.unprocessedTokensAt(server);
        const auto it = m_told.find(server);
        const auto told = it == m_told.end() ? Base::Tokens() : it->second;
        const auto change = std::max(unread - told, told - unread);
        const bool isCleared = unread == Base::Tokens() && told > Base::Tokens();
        if (change < MinChange && !isCleared)
            continue;
        if (isCleared) {
            m_told.erase(it);
        } else {
            m_told[server] = unread;
        }
        news.push_back({server, unread});
    }
    if (!news.empty())
        m_sender(news);
}

} // namespace Carawaykeel::Ingress
