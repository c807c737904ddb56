#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Requests/StoredResponse.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Carawaykeel::Requests {

/// The state of a request at this instance.
enum class RequestState {
    /// Other instances are being queried for its status.
    QueryingPeers,
    Running,
    /// Ended, with a response that can be replayed.
    Finished,
    /// Ended; its outcome is unknown, or its response was not kept.
    OutcomeUnknown,
    /// Another instance got the permission to run it; this one never will.
    Delegated,
    /// Rejected before any byte of it was sent, so it may still run once.
    NotExecuted,
};

/// What this instance knows about one request.
struct RequestEntry
{
    RequestState state = RequestState::Running;
    StoredResponse response;
    Base::Milliseconds expiresAt;
    /// The instance that may run a delegated request.
    Base::InstanceId delegatedTo;
    /// Retries that wait for the response of the first request.
    std::vector<std::function<void(const RequestEntry &)>> waiters;
};

/// Limits of the registry.
struct RegistryPolicy
{
    Base::Milliseconds retentionTime{600'000};
    std::size_t maxResponses = 20'000;
    /// Longer bodies are not kept: a retry of such a request gets RequestOutcomeLost, unless it is
    /// idempotent and runs again.
    std::size_t maxBodyBytes = 256 * 1'024;
    /// Maximum total size of the stored bodies in bytes.
    std::size_t maxTotalBodyBytes = 16 * 1'024 * 1'024;
};

/// The requests that this instance runs or has run, so that a retry waits for the response of the
/// first request or gets it replayed.
class RequestRegistry
{
public:
    RequestRegistry(Base::Scheduler &scheduler, const RegistryPolicy &policy);

    /// Returns the entry, or null when the request is unknown here.
    RequestEntry *find(const RequestKey &key);

    /// Records the start of a request, which then counts as running.
    void start(const RequestKey &key);

    /// Sets whether other instances are being queried for a started request.
    void setQueryingPeers(const RequestKey &key, bool isQuerying);

    /// Stores the complete response and passes it to the waiting retries.
    void finish(const RequestKey &key, StoredResponse response);

    /// Records that the outcome is unknown.
    void markOutcomeUnknown(const RequestKey &key);

    /// Records that another instance may run the request.
    void delegate(const RequestKey &key, const Base::InstanceId &to);

    /// Records that the request was rejected before it ran, so that a retry may run it.
    void markNotExecuted(const RequestKey &key);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Expiry
    {
        RequestKey key;
        Base::Milliseconds expiresAt;
    };

    void endRequest(const RequestKey &key, RequestState state, StoredResponse response);
    void expire();
    void evictOldBodies();

    Base::Scheduler &m_scheduler;
    const RegistryPolicy m_policy;
    std::map<RequestKey, RequestEntry> m_entries;
    std::deque<Expiry> m_expiries;
    std::deque<RequestKey> m_bodyOrder;
    std::size_t m_bodyBytes = 0;
};

} // namespace Carawaykeel::Requests
