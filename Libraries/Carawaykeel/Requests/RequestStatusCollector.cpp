#include <Carawaykeel/Requests/RequestStatusCollector.h>

#include <utility>

namespace Carawaykeel::Requests {

namespace {

constexpr Base::Milliseconds ReplyTimeout{40};
constexpr int AttemptsPerRound = 3;
constexpr Base::Milliseconds PollInterval{100};

/// Ranks the replies of several instances; the status with the highest rank is reported.
int rankOf(Peer::RequestStatus status)
{
    switch (status) {
    case Peer::RequestStatus::Finished:
        return 4;
    case Peer::RequestStatus::Running:
        return 3;
    case Peer::RequestStatus::PermissionGranted:
        return 2;
    case Peer::RequestStatus::OutcomeUnknown:
        return 1;
    case Peer::RequestStatus::NotFound:
        break;
    }
    return 0;
}

} // namespace

RequestStatusCollector::RequestStatusCollector(Base::InstanceContext &context)
    : m_context(context)
{
}

void RequestStatusCollector::collect(const RequestKey &key, std::vector<Base::InstanceId> peers,
    bool requestsPermission, Base::Milliseconds timeout,
    std::function<void(const RequestStatusSummary &)> callback)
{
    if (peers.empty())
        return callback({Peer::RequestStatus::NotFound, true, {}});
    const auto queryId = ++m_lastQueryId;
    Query query{key, std::move(peers), requestsPermission, m_context.scheduler.now() + timeout,
        std::move(callback), {}, {}, 0};
    for (const auto &peer : query.peers)
        query.pendingPeers.insert(peer.name);
    m_queries.emplace(queryId, std::move(query));
    send(queryId);
}

void RequestStatusCollector::send(std::uint64_t queryId)
{
    const auto it = m_queries.find(queryId);
    if (it == m_queries.end())
        return;
    auto &query = it->second;
    const auto attempts = ++query.attempts;
    for (const auto &peer : query.peers) {
        if (query.pendingPeers.contains(peer.name)) {
            m_context.peers.send(peer,
                Peer::QueryRequestStatus{
                    query.key.team, query.key.request, queryId, query.requestsPermission});
        }
    }
    m_context.scheduler.schedule(
        ReplyTimeout, [this, queryId, attempts] { onReplyTimeout(queryId, attempts); });
}

void RequestStatusCollector::onReplyTimeout(std::uint64_t queryId, int attempts)
{
    const auto it = m_queries.find(queryId);
    if (it == m_queries.end() || it->second.attempts != attempts)
        return;
    if (attempts % AttemptsPerRound == 0)
        return conclude(queryId, false);
    send(queryId);
}

void RequestStatusCollector::onRequestStatusReply(
    const Base::InstanceId &from, const Peer::RequestStatusReply &message)
{
    const auto it = m_queries.find(message.queryId);
    if (it == m_queries.end() || it->second.pendingPeers.erase(from.name) == 0)
        return;
    auto &query = it->second;
    const bool isBetter = rankOf(message.status) > rankOf(query.summary.status);
    if (isBetter) {
        query.summary.status = message.status;
        query.summary.response = {message.httpStatus, message.contentType, message.body};
    }
    if (query.pendingPeers.empty())
        conclude(message.queryId, true);
}

void RequestStatusCollector::conclude(std::uint64_t queryId, bool isComplete)
{
    const auto it = m_queries.find(queryId);
    auto &query = it->second;
    const bool isRunning = query.summary.status == Peer::RequestStatus::Running;
    if (isRunning && m_context.scheduler.now() < query.deadline) {
        query.summary = {};
        for (const auto &peer : query.peers)
            query.pendingPeers.insert(peer.name);
        // Rounding up to the next multiple starts a new round of attempts.
        query.attempts = (query.attempts + AttemptsPerRound) / AttemptsPerRound * AttemptsPerRound;
        return m_context.scheduler.schedule(PollInterval, [this, queryId] { send(queryId); });
    }
    auto callback = std::move(query.callback);
    auto summary = std::move(query.summary);
    summary.isComplete = isComplete;
    m_queries.erase(it);
    callback(summary);
}

} // namespace Carawaykeel::Requests
