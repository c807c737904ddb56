#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Routing/Priority.h>
#include <Carawaykeel/Routing/RetryTokenBucket.h>
#include <Carawaykeel/Routing/ServerSelection.h>
#include <Carawaykeel/Routing/TokenRateLimiter.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Carawaykeel::Routing {

/// A server as declared for a service.
struct ServerDefinition
{
    Base::ServerName name;
    std::string address;
    Base::DataCentre dataCentre;
    int capacity = 1;
};

/// A request for a slot at a server.
struct SlotRequest
{
    Base::ServiceName service;
    Priority priority = Priority::Normal;
    /// The tokens that count against the supplier's limit of tokens per minute.
    Base::Tokens tokens;
    /// The request leaves the queue with an error at this time.
    Base::Milliseconds deadline;
    ServerPreference preference;
};

/// Room for one request at a backend server. Must be released exactly once.
struct Slot
{
    Base::ServiceName service;
    Base::ServerName server;
    std::string address;
    Base::Tokens tokens;
};

/// How a server handled the request of a slot; the basis for its ejection.
enum class SlotResult { Succeeded, Failed, Unused };

/// Counts since the start of the dispatcher.
struct DispatchCounters
{
    std::uint64_t dispatched = 0;
    std::uint64_t queued = 0;
    std::uint64_t shed = 0;
    std::uint64_t deadlinesExpired = 0;
    std::uint64_t withoutServer = 0;
    std::uint64_t ejections = 0;
};

/// Assigns requests to servers by priority, within the servers' capacity and the supplier's limit
/// of tokens per minute. Requests that cannot be dispatched at once wait in a bounded queue. When
/// it is full, a request of the lowest priority is shed.
class Dispatcher
{
public:
    Dispatcher(Base::Scheduler &scheduler, Base::RandomEngine &random, const RoutingPolicy &policy);

    /// Replaces a service's servers. Keeps the state of servers that are in both lists.
    void setService(const Base::ServiceName &name, const std::vector<ServerDefinition> &servers,
        Base::Tokens tokensPerMinuteLimit);

    /// Removes services that are not in the set; their queued requests fail.
    void retainServices(const std::set<Base::ServiceName> &services);

    /// Calls the callback once with a slot, or with a failure of kind QueueFull, QueueTimeout,
    /// RateLimitExceeded or NoServerAvailable.
    void acquire(SlotRequest request, std::function<void(Base::Outcome<Slot>)> callback);

    /// Releases a slot and returns unused tokens to the rate limiter.
    void release(const Slot &slot, SlotResult result, Base::Tokens unusedTokens);

    /// Sets the servers that get no new requests. Replaces the previous set.
    void setLeavingServers(const std::set<Base::ServerName> &leaving);

    /// Sets the data centres whose servers get no new requests. Replaces the previous set.
    void setEvacuatedDataCentres(const std::set<Base::DataCentre> &evacuated);

    void updateReportedLoad(const Base::ServerName &server, double load);

    /// Takes one retry from the service's retry budget. Returns false when the budget is exhausted.
    bool tryTakeRetry(const Base::ServiceName &service);

    const DispatchCounters &counters() const { return m_counters; }
    std::size_t queuedRequests() const;
    std::vector<ServerState> servers() const;

private:
    struct PendingRequest
    {
        SlotRequest request;
        std::function<void(Base::Outcome<Slot>)> callback;
        std::uint64_t sequenceNumber;
    };
    struct Service
    {
        std::vector<ServerState> servers;
        std::array<std::deque<PendingRequest>, PriorityCount> queues;
        std::size_t queuedCount = 0;
        TokenRateLimiter rateLimiter{Base::Tokens()};
        RetryTokenBucket retryBucket;
        bool isWakeUpScheduled = false;
    };

    bool tryDispatch(Service &service, PendingRequest &pending);
    bool hasSlotFor(const Service &service, Priority priority) const;
    bool hasUsableServer(const Service &service) const;
    void updateEligibility();
    void dispatchQueued(const Base::ServiceName &name);
    bool tryDispatchNext(Service &service);
    void scheduleWakeUp(const Base::ServiceName &name, Service &service);
    void enqueue(const Base::ServiceName &name, Service &service, PendingRequest pending);
    bool tryShedBelow(Service &service, Priority priority);
    void expireQueued(
        const Base::ServiceName &name, Priority priority, std::uint64_t sequenceNumber);
    void fail(PendingRequest &pending, Base::ErrorKind kind, std::string_view message,
        Base::Milliseconds retryAfter);
    void recordResult(ServerState &server, SlotResult result);

    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    const RoutingPolicy m_policy;
    std::map<Base::ServiceName, Service> m_services;
    std::set<Base::ServerName> m_leaving;
    std::set<Base::DataCentre> m_evacuated;
    std::uint64_t m_lastSequenceNumber = 0;
    DispatchCounters m_counters;
};

} // namespace Carawaykeel::Routing
