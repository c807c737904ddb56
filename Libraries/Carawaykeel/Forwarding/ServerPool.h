#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Forwarding/KnownServer.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>
#include <Carawaykeel/Forwarding/ServerBacklog.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Carawaykeel::Forwarding {

/// The dials of the choice of a server.
struct ServerSelectionPolicy
{
    /// What a request at a server counts as in prompt tokens to read: it slows the others...
    double requestCostTokens = 100;
    /// ...and each one beyond the server's slots has to wait for another to end.
    double queuedRequestCostTokens = 4'000;
    /// A shared part that is read again takes the room of another, so it counts this many times.
    double duplicateCacheFactor = 3;
    /// What a server that fails every request counts as in prompt tokens: its requests are mostly
    /// read once more elsewhere.
    double failureCostTokens = 30'000;
    /// What another instance said of its prompts counts for so long.
    Base::Milliseconds peerBacklogLifetime{1'000};
    /// What a server in another data centre counts as, in requests.
    double otherDataCentreCostRequests = 0.4;
    /// A report counts half after this time.
    Base::Milliseconds reportHalfLife{400};
    /// Failures in a row after which a server is avoided.
    int failuresBeforeAvoidance = 3;
    Base::Milliseconds minAvoidanceTime{1'000};
    Base::Milliseconds maxAvoidanceTime{8'000};
    /// Weight of the newest attempt in the failure rate.
    double failureWeight = 0.2;
    /// What a server that fails every request counts as, in requests.
    double failureCostRequests = 12;
};

/// What matters of a request for the choice of its server.
struct ServerSelectionHint
{
    Base::ServiceName service;
    /// The parts of the prompt, the request's own last; empty when the service reads none.
    std::span<const PromptPart> prompt;
    /// Servers that have had the request.
    std::set<Base::ServerName> triedServers;
};

/// The servers that may be sent requests, and the choice among them.
class ServerPool
{
public:
    ServerPool(
        Base::DataCentre self, const ServerSelectionPolicy &policy, Base::RandomEngine &random);

    /// A server announced itself or changed what it says.
    void addOrUpdate(const ServerEntry &entry);
    /// A server is announced no longer.
    void remove(const Base::ServerName &name);

    /// What a server announced; null when it is not announced.
    const ServerEntry *findEntry(const Base::ServerName &name) const;

    /// The server to send to; null when none may be used. Valid until the next change.
    const KnownServer *selectServer(const ServerSelectionHint &hint, Base::Milliseconds now);

    /// Prompt tokens that a server is thought to read before those of a new request, with what else
    /// it does counted as tokens.
    std::int64_t tokensAhead(const KnownServer &server, Base::Milliseconds now) const;

    /// True when a server of the service that is not in the list may be used.
    bool hasUntriedServer(
        const Base::ServiceName &service, const std::set<Base::ServerName> &tried) const;

    /// A request goes to a server. Answers the tokens it probably has to read; they count until
    /// onRead().
    Base::Tokens onRequestSent(
        const Base::ServerName &name, std::span<const PromptPart> prompt, Base::Milliseconds now);
    /// The server has read a request's prompt, or will not.
    void onPromptProcessed(const Base::ServerName &name, Base::Tokens unread);
    /// Another instance tells what it has at the servers that it names.
    void onPeerBacklogs(const Base::InstanceName &peer, std::span<const ServerBacklog> backlogs,
        Base::Milliseconds now);
    /// What this instance has at one server; nothing at one that is not announced.
    Base::Tokens unprocessedTokensAt(const Base::ServerName &name) const;
    void onAttemptEnded(const Base::ServerName &name, bool hasFailed, Base::Milliseconds now);
    void onLoadReport(
        const Base::ServerName &name, const ReportedLoad &load, Base::Milliseconds now);

    /// True while the server is announced and not leaving.
    bool isUsable(const Base::ServerName &name) const;

    /// Servers that may be used, for the state dump and the metrics.
    std::vector<KnownServer> servers() const;

private:
    double requestsAt(const KnownServer &server, Base::Milliseconds now) const;
    double loadOf(const KnownServer &server, Base::Milliseconds now) const;
    const KnownServer *homeOf(const ServerSelectionHint &hint) const;
    const KnownServer *chooseByPrompt(std::span<const KnownServer *const> candidates,
        const ServerSelectionHint &hint, Base::Milliseconds now);
    const KnownServer *chooseLeastLoaded(
        std::span<const KnownServer *const> candidates, Base::Milliseconds now);

    const Base::DataCentre m_self;
    const ServerSelectionPolicy m_policy;
    Base::RandomEngine &m_random;
    std::map<Base::ServerName, KnownServer> m_servers;
};

} // namespace Carawaykeel::Forwarding
