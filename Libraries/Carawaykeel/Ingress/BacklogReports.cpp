#include <Carawaykeel/Ingress/BacklogReports.h>

#include <utility>

namespace Carawaykeel::Ingress {

BacklogReports::BacklogReports(
    Base::Scheduler &scheduler, const Forwarding::ServerFleet &servers, Sender sender)
    : m_scheduler(scheduler)
    , m_servers(servers)
    , m_sender(std::move(sender))
{
}

void BacklogReports::onChanged()
{
    if (std::exchange(m_isDue, true))
        return;
    m_scheduler.schedule(GatherTime, [this] { tell(); });
}

void BacklogReports::tell()
{
    m_isDue = false;
    std::vector<Forwarding::ServerBacklog> changed;
    for (const auto &backlog : m_servers.backlogs()) {
        auto &told = m_told[backlog.server];
        const auto change = backlog.unread - told;
        const bool isCleared = backlog.unread == Base::Tokens() && told > Base::Tokens();
        if (change < LeastChange && -LeastChange.count() < change.count() && !isCleared)
            continue;
        told = backlog.unread;
        changed.push_back(backlog);
    }
    std::erase_if(m_told, [](const auto &item) { return item.second == Base::Tokens(); });
    if (!changed.empty())
        m_sender(changed);
}

} // namespace Carawaykeel::Ingress
