// The part of ServerPool that selects by expected completion time.
#include <Carawaykeel/Forwarding/ServerPool.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

namespace {

RequestWork requestWork(const ServerSelectionHint &hint)
{
    RequestWork request;
    request.hasPrompt = !hint.prompt.empty();
    if (hint.responseTokens)
        request.responseTokens = static_cast<double>(hint.responseTokens->count());
    return request;
}

} // namespace

ServerWork ServerPool::workAt(const KnownServer &server, const ServerSelectionHint &hint,
    const KnownServer *preferred, Base::Milliseconds now) const
{
    const bool isLocal = server.entry.dataCentre == m_ownDataCentre;
    const auto distance = isLocal ? 0 : m_policy.otherDataCentreCostRequests;
    ServerWork work;
    work.server = &server;
    work.requests = estimatedRequestsAt(server, now);
    work.penaltyRequests = distance + server.failureRate * m_policy.failureCostRequests;
    if (hint.prompt.empty())
        return work;
    const auto ownPart = hint.prompt.last(1);
    const auto uncached =
        server.promptCache.countUncachedTokens(&server == preferred ? ownPart : hint.prompt, now);
    const auto sharedTokens = std::max(uncached - ownPart.front().tokens, Base::Tokens());
    work.uncachedTokens = static_cast<double>(uncached.count());
    // The time in the queue is estimated from the requests' own times.
    const auto queued = std::max(work.requests + 1 - server.entry.slots, 0.0);
    work.tokensAhead =
        static_cast<double>(tokensAhead(server, now)) - queued * m_policy.queuedRequestCostTokens;
    work.penaltyTokens =
        static_cast<double>(sharedTokens.count()) * (m_policy.duplicateCacheFactor - 1)
        + distance * m_policy.requestCostTokens;
    return work;
}

const KnownServer *ServerPool::selectByExpectedTime(std::span<const KnownServer *const> candidates,
    const ServerSelectionHint &hint, Base::Milliseconds now)
{
    const auto *preferred = preferredServer(hint);
    std::vector<ServerWork> works;
    for (const auto *server : candidates) {
        if (m_memory.fits(*server, estimatedRequestsAt(*server, now), hint.memoryTokens))
            works.push_back(workAt(*server, hint, preferred, now));
    }
    if (works.empty())
        return nullptr;
    return m_completionTime.selectServer(works, requestWork(hint), now);
}

std::optional<double> ServerPool::expectedTime(
    const KnownServer &server, const ServerSelectionHint &hint, Base::Milliseconds now) const
{
    if (!m_unevenServices.contains(hint.service))
        return std::nullopt;
    std::vector<ServerWork> works{workAt(server, hint, preferredServer(hint), now)};
    // The others are listed for the middle of their speeds.
    for (const auto &[name, other] : m_servers) {
        if (other.entry.service == hint.service)
            works.push_back({&other});
    }
    return m_completionTime.estimate(works, requestWork(hint), now).front();
}

void ServerPool::setMemoryCapacity(const Base::ServiceName &service, Base::Tokens capacity)
{
    m_memory.setCapacity(service, capacity);
}

void ServerPool::onMemoryUsed(const Base::ServerName &name, Base::Tokens tokens)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return;
    it->second.tokensInMemory += tokens;
    m_memory.onRequestSent(it->second.entry.service, tokens);
}

void ServerPool::onMemoryFreed(const Base::ServerName &name, Base::Tokens tokens)
{
    const auto it = m_servers.find(name);
    if (it != m_servers.end()) {
        it->second.tokensInMemory = std::max(it->second.tokensInMemory - tokens, Base::Tokens());
    }
}

void ServerPool::onServed(const Base::ServerName &name, const ServedAttempt &attempt)
{
    if (const auto it = m_servers.find(name); it != m_servers.end())
        it->second.speed.onServed(attempt, it->second.entry.slots);
}

} // namespace Carawaykeel::Forwarding
