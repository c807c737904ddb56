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

/// How far a request has come here.
enum class RequestState {
    /// Other instances are being asked whether they know it.
    Asking,
    Running,
    /// Over, with an answer that can be given again.
    Finished,
    /// Over, and what it came to cannot be told.
    Uncertain,
    /// An instance that asked for it may run it; this one never will.
    GivenAway,
    /// It was refused before any byte of it was sent, so it may still run once.
    NotRun,
};

/// What is known here of one request.
struct RequestEntry
{
    RequestState state = RequestState::Running;
    StoredResponse answer;
    Base::Milliseconds keptUntil;
    /// The instance that a given-away id went to.
    Base::InstanceId givenTo;
    /// Retries that wait for the answer of the first.
    std::vector<std::function<void(const RequestEntry &)>> joined;
};

/// The bounds of the registry.
struct RegistryPolicy
{
    Base::Milliseconds keep{600'000};
    std::size_t answersKept = 20'000;
    /// Longer bodies are not kept; a retry of theirs is told that the outcome is lost.
    std::size_t largestBody = 256 * 1'024;
    /// Bytes of all kept answers together.
    std::size_t bytesKept = 16 * 1'024 * 1'024;
};

/// The requests that this instance runs or has run, so that a retry joins or replays the first.
class RequestRegistry
{
public:
    RequestRegistry(Base::Scheduler &scheduler, const RegistryPolicy &policy);

    /// The entry, or null when the request is not known here.
    RequestEntry *find(const RequestKey &key);

    /// Notes that the request is being taken here; it counts as running.
    void begin(const RequestKey &key);

    /// Notes whether other instances are still being asked about a request that was begun.
    void setAsking(const RequestKey &key, bool isAsking);

    /// Notes the whole answer and gives it to the retries that have joined.
    void finish(const RequestKey &key, StoredResponse answer);

    /// Notes that the outcome cannot be told.
    void markUncertain(const RequestKey &key);

    /// Notes that another instance may run it.
    void giveAway(const RequestKey &key, const Base::InstanceId &to);

    /// The request was refused before it ran, so a retry may run it.
    void markNotRun(const RequestKey &key);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Expiry
    {
        RequestKey key;
        Base::Milliseconds when;
    };

    void end(const RequestKey &key, RequestState state, StoredResponse answer);
    void expire();
    void shedOldBodies();

    Base::Scheduler &m_scheduler;
    const RegistryPolicy m_policy;
    std::map<RequestKey, RequestEntry> m_entries;
    std::deque<Expiry> m_expiries;
    std::deque<RequestKey> m_bodies;
    std::size_t m_bytes = 0;
};

} // namespace Carawaykeel::Requests
