#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Requests/StoredResponse.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Carawaykeel::Requests {

/// The combined status of a request at all queried instances.
struct RequestStatusSummary
{
    Peer::RequestStatus status = Peer::RequestStatus::NotFound;
    /// False when an instance did not reply.
    bool isComplete = true;
    StoredResponse response;
};

/// Queries other instances for the status of a request, and polls while one of them runs it.
class RequestStatusCollector
{
public:
    RequestStatusCollector(Base::InstanceContext &context);

    /// Queries all peers in parallel and calls `callback` once. While one of them runs the request,
    /// queries them again until the timeout has passed.
    void collect(const RequestKey &key, std::vector<Base::InstanceId> peers,
        bool requestsPermission, Base::Milliseconds timeout,
        std::function<void(const RequestStatusSummary &)> callback);

    void onRequestStatusReply(
        const Base::InstanceId &from, const Peer::RequestStatusReply &message);

private:
    struct Query
    {
        RequestKey key;
        std::vector<Base::InstanceId> peers;
        bool requestsPermission = false;
        Base::Milliseconds deadline;
        std::function<void(const RequestStatusSummary &)> callback;
        std::set<Base::InstanceName> pendingPeers;
        RequestStatusSummary summary;
        int attempts = 0;
    };

    void send(std::uint64_t queryId);
    void onReplyTimeout(std::uint64_t queryId, int attempts);
    void conclude(std::uint64_t queryId, bool isComplete);

    Base::InstanceContext &m_context;
    std::map<std::uint64_t, Query> m_queries;
    std::uint64_t m_lastQueryId = 0;
};

} // namespace Carawaykeel::Requests
