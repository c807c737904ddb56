#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>
#include <vector>

namespace Carawaykeel::Forwarding {

/// How often a route's requests may run.
enum class RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Responds with a stream of events; runs at most once, unless the stream can be resumed.
    Stream,
};

/// A service that processes a share of a route's requests, in proportion to its weight.
struct WeightedService
{
    Base::ServiceName service;
    int weight = 1;
};

/// The services and rules for requests with a host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    /// Maximum time that a caller waits for the end of the response.
    Base::Milliseconds timeout;
    /// Target time for the response; for streams, for the first event.
    Base::Milliseconds latencyObjective;
    /// Target for the longest gap between two events.
    Base::Milliseconds eventGapObjective;
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of servers that one request is sent to.
    int maxAttempts = 1;
    /// Requests need no key.
    bool isPublic = false;
    /// Requests share prompt parts, so server selection takes the servers' prompt caches into
    /// account.
    bool hasSharedPrompts = false;
    /// A stream may be resumed at another server after the last received event.
    bool canResume = false;
    std::vector<WeightedService> services;

    /// Returns true when a request may run more than once.
    bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && canResume);
    }
};

} // namespace Carawaykeel::Forwarding
