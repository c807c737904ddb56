// The part of ServerPool that deals with cold servers.
#include <Carawaykeel/Forwarding/ServerPool.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

void ServerPool::onEntryReceived(const ServerEntry &entry, Base::Milliseconds now)
{
    m_coldServers.onEntry(entry, now);
}

void ServerPool::onColdTimeStated(
    const Base::ServerName &name, Base::Milliseconds duration, Base::Milliseconds now)
{
    if (const auto *entry = findEntry(name))
        m_coldServers.onStated(*entry, duration, now);
}

void ServerPool::onConnectionFailed(const Base::ServerName &name, Base::Milliseconds now)
{
    if (const auto *entry = findEntry(name))
        m_coldServers.onConnectionFailed(*entry, now);
}

void ServerPool::onDataCentreReturned(const Base::DataCentre &dataCentre, Base::Milliseconds now)
{
    for (const auto &[name, server] : m_servers) {
        if (server.entry.dataCentre == dataCentre)
            m_coldServers.onReturned(server.entry, now);
    }
}

bool ServerPool::hasOnlyColdServers(const Base::ServiceName &service, Base::Milliseconds now) const
{
    bool hasEligible = false;
    for (const auto &[name, server] : m_servers) {
        if (!isEligible(server, service, now))
            continue;
        if (!m_coldServers.isCold(server.entry, now))
            return false;
        hasEligible = true;
    }
    return hasEligible;
}

bool ServerPool::isOpen(
    const KnownServer &server, bool hasOnlyColdServers, Base::Milliseconds now) const
{
    return !m_coldServers.isCold(server.entry, now)
        || (hasOnlyColdServers && m_coldServers.hasRoom(server.entry, now));
}

double ServerPool::slowStartCost(std::span<const KnownServer *const> candidates, double minCost,
    const std::function<double(const KnownServer &)> &costOf, Base::Milliseconds now) const
{
    const auto isStarting = [&](const KnownServer *server) {
        return m_coldServers.slowStartShare(server->entry, now) > 0;
    };
    const auto starting = std::ranges::count_if(candidates, isStarting);
    const auto others = static_cast<std::ptrdiff_t>(candidates.size()) - starting;
    if (starting == 0 || others == 0)
        return 0;
    double sum = 0;
    for (const auto *server : candidates)
        sum += isStarting(server) ? 0 : costOf(*server);
    return sum / static_cast<double>(others) + minCost;
}

std::vector<NeededColdServer> ServerPool::neededColdServers(Base::Milliseconds now) const
{
    std::map<Base::ServiceName, bool> onlyCold;
    std::vector<NeededColdServer> needed;
    for (const auto &[name, server] : m_servers) {
        const auto &service = server.entry.service;
        const auto remaining = m_coldServers.remainingColdTime(server.entry, now);
        if (remaining <= Base::Milliseconds() || !isEligible(server, service, now))
            continue;
        if (!onlyCold.contains(service))
            onlyCold[service] = hasOnlyColdServers(service, now);
        if (onlyCold[service])
            needed.push_back({{name, server.entry.startedAt}, remaining});
    }
    return needed;
}

bool ServerPool::isCold(const ServerIncarnation &server, Base::Milliseconds now) const
{
    const auto *entry = findEntry(server.name);
    return entry && entry->startedAt == server.startedAt && m_coldServers.isCold(*entry, now);
}

std::optional<Base::Milliseconds> ServerPool::timeUntilWarm(
    const Base::ServiceName &service, Base::Milliseconds now) const
{
    std::optional<Base::Milliseconds> shortest;
    if (!hasOnlyColdServers(service, now))
        return shortest;
    for (const auto &[name, server] : m_servers) {
        if (!isEligible(server, service, now))
            continue;
        const auto remaining = m_coldServers.remainingColdTime(server.entry, now);
        shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return shortest;
}

} // namespace Carawaykeel::Forwarding
