#include <Carawaykeel/Transport/ConnectionUsage.h>

#include <utility>

namespace Carawaykeel::Transport {

std::optional<Base::InstanceName> ConnectionUsage::use(
    const Base::InstanceName &peer, Base::Milliseconds now)
{
    const auto it = m_positions.find(peer);
    if (it != m_positions.end()) {
        it->second->usedAt = now;
        m_entries.splice(m_entries.end(), m_entries, it->second);
        return std::nullopt;
    }
    m_entries.push_back({peer, now});
    m_positions.emplace(peer, std::prev(m_entries.end()));
    if (m_positions.size() <= m_maxConnections)
        return std::nullopt;
    auto leastRecentlyUsed = std::move(m_entries.front().peer);
    m_entries.pop_front();
    m_positions.erase(leastRecentlyUsed);
    return leastRecentlyUsed;
}

std::vector<Base::InstanceName> ConnectionUsage::takeIdle(Base::Milliseconds now)
{
    std::vector<Base::InstanceName> idle;
    while (!m_entries.empty() && now - m_entries.front().usedAt >= m_idleTimeout) {
        m_positions.erase(m_entries.front().peer);
        idle.push_back(std::move(m_entries.front().peer));
        m_entries.pop_front();
    }
    return idle;
}

} // namespace Carawaykeel::Transport
