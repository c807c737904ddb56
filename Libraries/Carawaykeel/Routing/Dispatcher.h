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

/// What a service's declaration says of its servers.
struct ServerDefinition
{
    Base::ServerName name;
    std::string address;
    Base::DataCentre dataCentre;
    int capacity = 1;
};

/// A request that wants a server.
struct SlotRequest
{
    Base::ServiceName service;
    Priority priority = Priority::Normal;
    /// The tokens that count against the supplier's minute.
    Base::Tokens tokens;
    /// The request waits no longer than until this moment.
    Base::Milliseconds deadline;
    ServerPreference preference;
};

/// A place at a backend server, to be released once.
struct Slot
{
    Base::ServiceName service;
    Base::ServerName server;
    std::string address;
    Base::Tokens tokens;
};

/// What a slot's use says of the server.
enum class SlotResult { Succeeded, Failed, Unused };

/// What the dispatcher has done since its start.
struct DispatchCounters
{
    std::uint64_t dispatched = 0;
    std::uint64_t queued = 0;
    std::uint64_t shed = 0;
    std::uint64_t deadlinesExpired = 0;
    std::uint64_t withoutServer = 0;
    std::uint64_t ejections = 0;
};

/// Gives requests their servers: by priority, within the servers' room and the supplier's minute.
/// What cannot go at once waits in a bounded queue; when that is full the lowest priority is shed.
class Dispatcher
{
public:
    Dispatcher(Base::Scheduler &scheduler, Base::RandomEngine &random, const RoutingPolicy &policy);

    /// Replaces a service's servers. What is known of servers that stay is kept.
    void setService(const Base::ServiceName &service, const std::vector<ServerDefinition> &servers,
        Base::Tokens ceiling);

    /// Removes services that are not in the list; their waiting requests fail.
    void retainServices(const std::set<Base::ServiceName> &services);

    /// Answers with a slot, or fails with QueueFull, QueueDeadline, MinuteCeiling or NoServer.
    void acquire(SlotRequest request, std::function<void(Base::Outcome<Slot>)> answer);

    /// Ends the use of a slot. Tokens that were taken from the minute and not used are given back.
    void release(const Slot &slot, SlotResult result, Base::Tokens unusedTokens);

    /// From now on the server gets no new work; it stays so until it is declared afresh without it.
    void setLeavingServers(const std::set<Base::ServerName> &leaving);

    void updateReportedLoad(const Base::ServerName &server, double load);

    /// True when a request of the service may be tried once more.
    bool tryTakeRetry(const Base::ServiceName &service);

    const DispatchCounters &counters() const { return m_counters; }
    std::size_t queuedRequests() const;
    std::vector<ServerState> servers() const;

private:
    struct Waiting
    {
        SlotRequest request;
        std::function<void(Base::Outcome<Slot>)> answer;
        std::uint64_t ticket;
    };
    struct Service
    {
        std::vector<ServerState> servers;
        std::array<std::deque<Waiting>, PriorityCount> queues;
        std::size_t queued = 0;
        TokenRateLimiter limiter{Base::Tokens()};
        RetryTokenBucket retries;
        bool isWaking = false;
    };

    bool tryDispatch(Service &service, Waiting &waiting);
    bool hasSlotFor(const Service &service, Priority priority) const;
    bool hasAnyServer(const Service &service) const;
    void pump(const Base::ServiceName &name);
    bool pumpOne(Service &service);
    void wakeForMinute(const Base::ServiceName &name, Service &service);
    void enqueue(const Base::ServiceName &name, Service &service, Waiting waiting);
    bool shedBelow(Service &service, Priority priority);
    void expire(const Base::ServiceName &name, Priority priority, std::uint64_t ticket);
    void fail(Waiting &waiting, Base::ErrorKind kind, std::string_view message,
        Base::Milliseconds retryAfter);
    void noteResult(ServerState &server, SlotResult result);

    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    const RoutingPolicy m_policy;
    std::map<Base::ServiceName, Service> m_services;
    std::set<Base::ServerName> m_leaving;
    std::uint64_t m_tickets = 0;
    DispatchCounters m_counters;
};

} // namespace Carawaykeel::Routing
