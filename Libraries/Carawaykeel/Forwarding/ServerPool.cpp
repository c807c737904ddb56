#include <Carawaykeel/Forwarding/ServerPool.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>
#include <xxhash.h>

namespace Carawaykeel::Forwarding {

namespace {

bool isLeaving(const KnownServer &server)
{
    return server.entry.isLeaving || server.hasSaidLeaving;
}

/// More than leave at the same time in the largest fleets.
constexpr std::size_t MaxLeavingIncarnations = 256;

} // namespace

ServerPool::ServerPool(
    Base::DataCentre ownDataCentre, const ServerSelectionPolicy &policy, Base::RandomEngine &random)
    : m_ownDataCentre(std::move(ownDataCentre))
    , m_policy(policy)
    , m_random(random)
    , m_completionTime(random)
{
}

void ServerPool::addOrUpdate(const ServerEntry &entry)
{
    auto &server = m_servers[entry.name];
    const bool isSameIncarnation = server.entry.startedAt == entry.startedAt
        && server.entry.address == entry.address && server.entry.service == entry.service;
    if (!isSameIncarnation)
        server = KnownServer();
    server.entry = entry;
    const ServerIncarnation incarnation{entry.name, entry.startedAt};
    server.hasSaidLeaving =
        std::ranges::find(m_leavingIncarnations, incarnation) != m_leavingIncarnations.end();
    const auto pause = m_pauses.find(entry.name);
    if (pause != m_pauses.end() && pause->second.serverStartedAt == entry.startedAt)
        server.pausedUntil = pause->second.until;
}

void ServerPool::remove(const Base::ServerName &name)
{
    m_servers.erase(name);
}

bool ServerPool::onServerLeaving(const Base::ServerName &name)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end() || std::exchange(it->second.hasSaidLeaving, true))
        return false;
    m_leavingIncarnations.push_back({name, it->second.entry.startedAt});
    if (m_leavingIncarnations.size() > MaxLeavingIncarnations)
        m_leavingIncarnations.pop_front();
    return true;
}

void ServerPool::setEvacuated(
    const Base::DataCentre &dataCentre, bool isEvacuated, Base::Milliseconds now)
{
    if (isEvacuated) {
        m_evacuatedDataCentres.insert(dataCentre);
    } else if (m_evacuatedDataCentres.erase(dataCentre) > 0) {
        onDataCentreReturned(dataCentre, now);
    }
}

bool ServerPool::isEvacuated(const Base::DataCentre &dataCentre) const
{
    return m_evacuatedDataCentres.contains(dataCentre);
}

bool ServerPool::isBlockedByEvacuation(
    const Base::ServiceName &service, Base::Milliseconds now) const
{
    if (m_evacuatedDataCentres.empty() || hasUntriedServer(service, {}, now))
        return false;
    return std::ranges::any_of(m_servers, [&](const auto &item) {
        const auto &server = item.second;
        return server.entry.service == service && !isLeaving(server)
            && isEvacuated(server.entry.dataCentre);
    });
}

const ServerEntry *ServerPool::findEntry(const Base::ServerName &name) const
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? nullptr : &it->second.entry;
}

bool ServerPool::isEligible(
    const KnownServer &server, const Base::ServiceName &service, Base::Milliseconds now) const
{
    return server.entry.service == service && !isLeaving(server) && server.pausedUntil <= now
        && !isEvacuated(server.entry.dataCentre);
}

double ServerPool::estimatedRequestsAt(const KnownServer &server, Base::Milliseconds now) const
{
    // The report already includes this instance's requests at that time, so the estimate is the
    // greater of the two counts and not their sum.
    const auto age = static_cast<double>((now - server.reportedAt).count())
        / static_cast<double>(m_policy.reportHalfLife.count());
    const auto reported =
        (server.reportedLoad.running + server.reportedLoad.waiting) * std::exp2(-age)
        + server.sentSinceReport;
    return std::max<double>(server.inFlight, reported);
}

double ServerPool::loadOf(const KnownServer &server, Base::Milliseconds now) const
{
    return estimatedRequestsAt(server, now) + server.failureRate * m_policy.failureCostRequests;
}

const KnownServer *ServerPool::selectServer(const ServerSelectionHint &hint, Base::Milliseconds now)
{
    std::vector<const KnownServer *> eligible;
    std::vector<const KnownServer *> notAvoided;
    const bool onlyCold = hasOnlyColdServers(hint.service, now);
    for (const auto &[name, server] : m_servers) {
        if (!isEligible(server, hint.service, now) || hint.triedServers.contains(name)
            || !isOpen(server, onlyCold, now))
            continue;
        eligible.push_back(&server);
        if (server.avoidedUntil <= now)
            notAvoided.push_back(&server);
    }
    if (eligible.empty())
        return nullptr;
    const auto &candidates = notAvoided.empty() ? eligible : notAvoided;
    if (m_unevenServices.contains(hint.service))
        return selectByExpectedTime(candidates, hint, now);
    return hint.prompt.empty() ? selectLeastLoaded(candidates, now)
                               : selectByPrompt(candidates, hint, now);
}

const KnownServer *ServerPool::preferredServer(const ServerSelectionHint &hint) const
{
    // The last part belongs to this request only; the one before it ends the longest shared prefix.
    if (hint.prompt.size() < 2)
        return nullptr;
    const auto part = hint.prompt[hint.prompt.size() - 2].id;
    // Rendezvous hashing makes all instances select the same server without communication.
    const KnownServer *preferred = nullptr;
    std::uint64_t highest = 0;
    for (const auto &[name, server] : m_servers) {
        if (server.entry.service != hint.service || isLeaving(server)
            || isEvacuated(server.entry.dataCentre))
            continue;
        const auto hash = XXH64(name.text().data(), name.text().size(), part);
        if (!preferred || hash > highest) {
            preferred = &server;
            highest = hash;
        }
    }
    return preferred;
}

std::int64_t ServerPool::tokensAhead(const KnownServer &server, Base::Milliseconds now) const
{
    auto unprocessed = server.unprocessedTokens;
    for (const auto &[name, peer] : server.peerBacklogs) {
        if (now - peer.receivedAt <= m_policy.peerBacklogLifetime)
            unprocessed += peer.unprocessedTokens;
    }
    const auto requests = estimatedRequestsAt(server, now);
    const auto queued = std::max(requests + 1 - server.entry.slots, 0.0);
    const auto otherWork = requests * m_policy.requestCostTokens
        + queued * m_policy.queuedRequestCostTokens
        + server.failureRate * m_policy.failureCostTokens;
    return unprocessed.count() + static_cast<std::int64_t>(otherWork);
}

const KnownServer *ServerPool::selectByPrompt(std::span<const KnownServer *const> candidates,
    const ServerSelectionHint &hint, Base::Milliseconds now)
{
    std::uniform_real_distribution<double> tieBreak(0, m_policy.requestCostTokens / 10);
    const auto *preferred = preferredServer(hint);
    const auto ownPart = hint.prompt.last(1);
    const auto slowStart = slowStartCost(
        candidates, m_policy.slowStartCostRequests * m_policy.requestCostTokens,
        [&](const auto &server) { return static_cast<double>(tokensAhead(server, now)); }, now);
    const KnownServer *best = nullptr;
    double lowestCost = 0;
    for (const auto *server : candidates) {
        const auto uncached = server->promptCache.countUncachedTokens(
            server == preferred ? ownPart : hint.prompt, now);
        const auto sharedTokens = std::max(uncached - ownPart.front().tokens, Base::Tokens());
        const bool isLocal = server->entry.dataCentre == m_ownDataCentre;
        const auto cost = static_cast<double>(tokensAhead(*server, now))
            + static_cast<double>(uncached.count())
            + static_cast<double>(sharedTokens.count()) * (m_policy.duplicateCacheFactor - 1)
            + (isLocal ? 0 : m_policy.otherDataCentreCostRequests * m_policy.requestCostTokens)
            + m_coldServers.slowStartShare(server->entry, now) * slowStart + tieBreak(m_random);
        if (!best || cost < lowestCost) {
            best = server;
            lowestCost = cost;
        }
    }
    return best;
}

const KnownServer *ServerPool::selectLeastLoaded(
    std::span<const KnownServer *const> candidates, Base::Milliseconds now)
{
    std::uniform_real_distribution<double> tieBreak(0, 0.1);
    const auto slowStart = slowStartCost(
        candidates, m_policy.slowStartCostRequests,
        [&](const auto &server) { return loadOf(server, now); }, now);
    const KnownServer *best = nullptr;
    double bestLoad = 0;
    for (const auto *server : candidates) {
        const bool isLocal = server->entry.dataCentre == m_ownDataCentre;
        const auto load = loadOf(*server, now)
            + (isLocal ? 0 : m_policy.otherDataCentreCostRequests)
            + m_coldServers.slowStartShare(server->entry, now) * slowStart + tieBreak(m_random);
        if (!best || load < bestLoad) {
            best = server;
            bestLoad = load;
        }
    }
    return best;
}

bool ServerPool::hasUntriedServer(const Base::ServiceName &service,
    const std::set<Base::ServerName> &triedServers, Base::Milliseconds now) const
{
    const bool onlyCold = hasOnlyColdServers(service, now);
    return std::ranges::any_of(m_servers, [&](const auto &item) {
        const auto &[name, server] = item;
        return isEligible(server, service, now) && !triedServers.contains(name)
            && isOpen(server, onlyCold, now);
    });
}

Base::Milliseconds ServerPool::onServerPaused(
    const Base::ServerName &name, Base::Milliseconds duration, Base::Milliseconds now)
{
    std::erase_if(m_pauses, [now](const auto &item) { return item.second.until <= now; });
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return now;
    auto &server = it->second;
    server.pausedUntil = std::max(server.pausedUntil, now + std::min(duration, MaxServerPause));
    m_pauses[name] = {server.entry.startedAt, server.pausedUntil};
    return server.pausedUntil;
}

std::optional<Base::Milliseconds> ServerPool::timeUntilUnpaused(
    const Base::ServiceName &service, Base::Milliseconds now) const
{
    std::optional<Base::Milliseconds> earliest;
    for (const auto &[name, server] : m_servers) {
        if (server.entry.service != service || isLeaving(server)
            || isEvacuated(server.entry.dataCentre))
            continue;
        earliest = std::min(earliest.value_or(server.pausedUntil), server.pausedUntil);
    }
    if (!earliest || *earliest <= now)
        return std::nullopt;
    return *earliest - now;
}

Base::Tokens ServerPool::onRequestSent(
    const Base::ServerName &name, std::span<const PromptPart> prompt, Base::Milliseconds now)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return {};
    auto &server = it->second;
    m_coldServers.onRequestSent(server.entry, now);
    ++server.inFlight;
    ++server.sentSinceReport;
    const auto uncached = server.promptCache.countUncachedTokens(prompt, now);
    server.unprocessedTokens += uncached;
    server.promptCache.onPromptSent(prompt, now);
    return uncached;
}

void ServerPool::onPromptProcessed(const Base::ServerName &name, Base::Tokens tokens)
{
    const auto it = m_servers.find(name);
    if (it != m_servers.end()) {
        it->second.unprocessedTokens =
            std::max(it->second.unprocessedTokens - tokens, Base::Tokens());
    }
}

void ServerPool::onPeerBacklogs(
    const Base::InstanceName &peer, std::span<const ServerBacklog> backlogs, Base::Milliseconds now)
{
    for (const auto &backlog : backlogs) {
        const auto it = m_servers.find(backlog.server);
        if (it == m_servers.end())
            continue;
        if (backlog.unprocessedTokens > Base::Tokens()) {
            it->second.peerBacklogs[peer] = {backlog.unprocessedTokens, now};
        } else {
            it->second.peerBacklogs.erase(peer);
        }
    }
}

Base::Tokens ServerPool::unprocessedTokensAt(const Base::ServerName &name) const
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? Base::Tokens() : it->second.unprocessedTokens;
}

void ServerPool::onAttemptEnded(
    const Base::ServerName &name, bool hasFailed, Base::Milliseconds now)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return;
    auto &server = it->second;
    server.inFlight = std::max(0, server.inFlight - 1);
    server.failureRate += m_policy.failureWeight * ((hasFailed ? 1.0 : 0.0) - server.failureRate);
    if (!hasFailed) {
        server.consecutiveFailures = 0;
        server.avoidanceTime = Base::Milliseconds();
        server.avoidedUntil = Base::Milliseconds();
        return;
    }
    if (++server.consecutiveFailures < m_policy.failuresBeforeAvoidance)
        return;
    server.avoidanceTime =
        std::clamp(server.avoidanceTime * 2, m_policy.minAvoidanceTime, m_policy.maxAvoidanceTime);
    server.avoidedUntil = now + server.avoidanceTime;
}

void ServerPool::onLoadReport(
    const Base::ServerName &name, const ReportedLoad &load, Base::Milliseconds now)
{
    const auto it = m_servers.find(name);
    if (it == m_servers.end())
        return;
    it->second.reportedLoad = load;
    it->second.reportedAt = now;
    it->second.sentSinceReport = 0;
    if (load.workTimePercent) {
        it->second.speed.onWorkTime(*load.workTimePercent, now);
        m_unevenServices.insert(it->second.entry.service);
    }
}

bool ServerPool::isUsable(const Base::ServerName &name) const
{
    const auto it = m_servers.find(name);
    return it != m_servers.end() && !isLeaving(it->second);
}

std::vector<KnownServer> ServerPool::servers() const
{
    std::vector<KnownServer> servers;
    for (const auto &[name, server] : m_servers)
        servers.push_back(server);
    return servers;
}

} // namespace Carawaykeel::Forwarding
