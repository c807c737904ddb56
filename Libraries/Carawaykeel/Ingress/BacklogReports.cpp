#include <Carawaykeel/Ingress/BacklogReports.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

BacklogReports::BacklogReports(
    Base::Scheduler &scheduler, const Forwarding::ServerFleet &servers, Sender sender)
    : m_scheduler(scheduler)
    , m_servers(servers)
    , m_sender(std::move(sender))
{
}

void BacklogReports::onChanged(const Base::ServerName &server)
{
    const bool isDue = !m_changed.empty();
    m_changed.insert(server);
    if (!isDue)
        m_scheduler.schedule(GatherTime, [this] { tell(); });
}

void BacklogReports::tell()
{
    std::vector<Forwarding::ServerBacklog> news;
    for (const auto &server : std::exchange(m_changed, {})) {
        const auto unread = m_servers.unreadAt(server);
        const auto it = m_told.find(server);
        const auto told = it == m_told.end() ? Base::Tokens() : it->second;
        const auto change = std::max(unread - told, told - unread);
        const bool isCleared = unread == Base::Tokens() && told > Base::Tokens();
        if (change < LeastChange && !isCleared)
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
