#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Forwarding/ColdServers.h>
#include <Carawaykeel/Forwarding/CompletionTime.h>
#include <Carawaykeel/Forwarding/KnownServer.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>
#include <Carawaykeel/Forwarding/ServerBacklog.h>
#include <Carawaykeel/Forwarding/ServerMemory.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Carawaykeel::Forwarding {

/// Parameters of server selection.
struct ServerSelectionPolicy
{
    /// Cost of each request at a server, in prompt tokens: it slows down the others.
    double requestCostTokens = 100;
    /// Additional cost of each request beyond the server's slots, which has to wait until another
    /// one ends.
    double queuedRequestCostTokens = 4'000;
    /// Cost factor of shared tokens that a further server processes: they also displace other parts
    /// from its cache.
    double duplicateCacheFactor = 3;
    /// Cost of a server that fails every request, in prompt tokens: most of its requests have to be
    /// processed again by another server.
    double failureCostTokens = 30'000;
    /// A backlog reported by another instance expires after this time.
    Base::Milliseconds peerBacklogLifetime{1'000};
    /// Additional cost of a server in another data centre, in requests.
    double otherDataCentreCostRequests = 0.4;
    /// The weight of a load report halves in this time.
    Base::Milliseconds reportHalfLife{400};
    /// Consecutive failures after which a server is avoided.
    int failuresBeforeAvoidance = 3;
    Base::Milliseconds minAvoidanceTime{1'000};
    Base::Milliseconds maxAvoidanceTime{8'000};
    /// Weight of the newest attempt in the moving average of the failure rate.
    double failureWeight = 0.2;
    /// Cost of a server that fails every request, in requests.
    double failureCostRequests = 12;
    /// Cost of a server that has just become warm, in requests, besides the mean cost of the
    /// others. Both fall to zero over a period as long as the cold time.
    double slowStartCostRequests = 1;
};

/// A cold server whose service has no eligible server that is warm.
struct NeededColdServer
{
    ServerIncarnation server;
    Base::Milliseconds remainingColdTime;
};

/// Properties of a request that influence the selection of its server.
struct ServerSelectionHint
{
    Base::ServiceName service;
    /// The parts of the prompt, with the one that is not shared last; empty when the request has no
    /// prompt or the prompt does not matter.
    std::span<const PromptPart> prompt;
    /// Servers that the request was already sent to.
    std::set<Base::ServerName> triedServers;
    /// Tokens to be expected in the response; empty when unknown.
    std::optional<Base::Tokens> responseTokens = {};
    /// Tokens that the request occupies in a server's memory, prompt and response.
    Base::Tokens memoryTokens = {};
};

/// The announced servers and the selection among them.
class ServerPool
{
public:
    /// A server that asks for a longer pause is tried again after this time.
    static constexpr Base::Milliseconds MaxServerPause{60'000};

    ServerPool(Base::DataCentre ownDataCentre, const ServerSelectionPolicy &policy,
        Base::RandomEngine &random);

    /// Adds an announced server or updates its entry.
    void addOrUpdate(const ServerEntry &entry);
    /// Removes a server that is no longer announced.
    void remove(const Base::ServerName &name);

    /// Records that a server has said in a response that it leaves. It is not selected any more,
    /// whatever its entry says, until another incarnation is announced. Returns false if that was
    /// known.
    bool onServerLeaving(const Base::ServerName &name);

    /// Records that a server wants no requests for some time, at most MaxServerPause. Returns the
    /// time until which it gets none.
    Base::Milliseconds onServerPaused(
        const Base::ServerName &name, Base::Milliseconds duration, Base::Milliseconds now);

    /// Returns the time from now until a server of the service takes requests again, if all that do
    /// not leave have paused.
    std::optional<Base::Milliseconds> timeUntilUnpaused(
        const Base::ServiceName &service, Base::Milliseconds now) const;

    /// Sets whether the servers of a data centre get new requests. A name without servers is kept
    /// for servers that are announced later.
    void setEvacuated(const Base::DataCentre &dataCentre, bool isEvacuated, Base::Milliseconds now);
    bool isEvacuated(const Base::DataCentre &dataCentre) const;
    /// Returns true if the service has no eligible server, but would have one without evacuations.
    bool isBlockedByEvacuation(const Base::ServiceName &service, Base::Milliseconds now) const;

    /// Returns the entry of a server; null when it is not announced.
    const ServerEntry *findEntry(const Base::ServerName &name) const;

    /// Returns the server to send the request to; null when none is eligible. The pointer is valid
    /// until a server is added, updated or removed.
    const KnownServer *selectServer(const ServerSelectionHint &hint, Base::Milliseconds now);

    /// Returns the milliseconds until the server would complete the request; empty for services
    /// whose servers do not report their work time.
    std::optional<double> expectedTime(
        const KnownServer &server, const ServerSelectionHint &hint, Base::Milliseconds now) const;

    /// Returns the estimated number of requests at the server, this instance's and others'.
    double estimatedRequestsAt(const KnownServer &server, Base::Milliseconds now) const;

    /// Returns the estimated prompt tokens that a server processes before those of a new request.
    /// Its other work is included as an equivalent number of tokens.
    std::int64_t tokensAhead(const KnownServer &server, Base::Milliseconds now) const;

    /// Returns true when the service has a server that neither leaves nor has paused and is not in
    /// the set.
    bool hasUntriedServer(const Base::ServiceName &service,
        const std::set<Base::ServerName> &triedServers, Base::Milliseconds now) const;

    /// Records that a request is sent to a server. Returns the estimated tokens that the server has
    /// to process; they count as its backlog until onPromptProcessed().
    Base::Tokens onRequestSent(
        const Base::ServerName &name, std::span<const PromptPart> prompt, Base::Milliseconds now);
    /// Records that a server has processed a request's prompt or will not process it.
    void onPromptProcessed(const Base::ServerName &name, Base::Tokens tokens);
    /// Records the backlogs that another instance reports for the servers in the list.
    void onPeerBacklogs(const Base::InstanceName &peer, std::span<const ServerBacklog> backlogs,
        Base::Milliseconds now);
    /// Returns this instance's unprocessed prompt tokens at a server; zero for an unknown one.
    Base::Tokens unprocessedTokensAt(const Base::ServerName &name) const;
    void onAttemptEnded(const Base::ServerName &name, bool hasFailed, Base::Milliseconds now);
    void onLoadReport(
        const Base::ServerName &name, const ReportedLoad &load, Base::Milliseconds now);

    /// Knows which servers are cold.
    ColdServers &coldServers() { return m_coldServers; }
    const ColdServers &coldServers() const { return m_coldServers; }
    /// Records when an entry was received, which says how much longer its server is cold. Call
    /// with each entry besides addOrUpdate().
    void onEntryReceived(const ServerEntry &entry, Base::Milliseconds now);
    /// Records that a response stated how much longer its server is cold.
    void onColdTimeStated(
        const Base::ServerName &name, Base::Milliseconds duration, Base::Milliseconds now);
    /// Records that a server refused or lost a connection.
    void onConnectionFailed(const Base::ServerName &name, Base::Milliseconds now);
    /// Records that the evacuation of a data centre was lifted: all servers there count as cold
    /// for the declared cold time of their service.
    void onDataCentreReturned(const Base::DataCentre &dataCentre, Base::Milliseconds now);
    /// Returns the eligible servers that are cold and whose service has no eligible warm one.
    std::vector<NeededColdServer> neededColdServers(Base::Milliseconds now) const;
    /// Returns true while a server is announced, as this incarnation, and cold.
    bool isCold(const ServerIncarnation &server, Base::Milliseconds now) const;
    /// Returns the shortest time until a server of the service is warm, if all its eligible
    /// servers are cold.
    std::optional<Base::Milliseconds> timeUntilWarm(
        const Base::ServiceName &service, Base::Milliseconds now) const;
    /// Sets how many tokens the memory of each server of a service holds; 0 for no limit.
    void setMemoryCapacity(const Base::ServiceName &service, Base::Tokens capacity);
    /// Records that a request occupies a server's memory until onMemoryFreed().
    void onMemoryUsed(const Base::ServerName &name, Base::Tokens tokens);
    void onMemoryFreed(const Base::ServerName &name, Base::Tokens tokens);

    /// Records a request that the server has served, from which its speed is learned.
    void onServed(const Base::ServerName &name, const ServedAttempt &attempt);

    /// Returns true while the server is announced and not leaving.
    bool isUsable(const Base::ServerName &name) const;

    /// Returns all announced servers, for the state dump and the metrics.
    std::vector<KnownServer> servers() const;

private:
    struct Pause
    {
        std::int64_t serverStartedAt = 0;
        Base::Milliseconds until;
    };

    /// Returns true if a server of the service may get new requests.
    bool isEligible(
        const KnownServer &server, const Base::ServiceName &service, Base::Milliseconds now) const;
    /// Returns true if the service has eligible servers and all of them are cold.
    bool hasOnlyColdServers(const Base::ServiceName &service, Base::Milliseconds now) const;
    /// Returns true if an eligible server is warm, or is cold and may get a request of this
    /// instance now.
    bool isOpen(const KnownServer &server, bool hasOnlyColdServers, Base::Milliseconds now) const;
    /// Returns what a server that has just become warm costs more than its load: the mean cost of
    /// the candidates that carry their full load, so that its share of the requests rises with
    /// time whatever the load is, and `minCost`.
    double slowStartCost(std::span<const KnownServer *const> candidates, double minCost,
        const std::function<double(const KnownServer &)> &costOf, Base::Milliseconds now) const;
    double loadOf(const KnownServer &server, Base::Milliseconds now) const;
    const KnownServer *preferredServer(const ServerSelectionHint &hint) const;
    const KnownServer *selectByPrompt(std::span<const KnownServer *const> candidates,
        const ServerSelectionHint &hint, Base::Milliseconds now);
    ServerWork workAt(const KnownServer &server, const ServerSelectionHint &hint,
        const KnownServer *preferred, Base::Milliseconds now) const;
    const KnownServer *selectByExpectedTime(std::span<const KnownServer *const> candidates,
        const ServerSelectionHint &hint, Base::Milliseconds now);
    const KnownServer *selectLeastLoaded(
        std::span<const KnownServer *const> candidates, Base::Milliseconds now);

    const Base::DataCentre m_ownDataCentre;
    const ServerSelectionPolicy m_policy;
    Base::RandomEngine &m_random;
    CompletionTime m_completionTime;
    ServerMemory m_memory;
    std::map<Base::ServerName, KnownServer> m_servers;
    /// Services whose servers report their work time.
    std::set<Base::ServiceName> m_unevenServices;
    /// The latest incarnations that said in a response that they leave, the newest last. Kept apart
    /// from the servers, since an entry can expire and come back.
    std::deque<ServerIncarnation> m_leavingIncarnations;
    /// Pauses that last, by server, also while its entry has expired.
    std::map<Base::ServerName, Pause> m_pauses;
    std::set<Base::DataCentre> m_evacuatedDataCentres;
    ColdServers m_coldServers;
};

} // namespace Carawaykeel::Forwarding
