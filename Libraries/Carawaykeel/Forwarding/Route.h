#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>
#include <vector>

namespace Carawaykeel::Forwarding {

/// What may be repeated of a route's requests.
enum class RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answers with events; runs at most once, unless it can be resumed.
    Stream,
};

/// A service that takes a share of a route's requests, in proportion to the weight.
struct WeightedService
{
    Base::ServiceName service;
    int weight = 1;
};

/// Where requests of a host and path prefix go, and what holds for them.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    /// The longest a caller is kept waiting.
    Base::Milliseconds timeout;
    /// An answer within this time is of full worth; for streams, the first event.
    Base::Milliseconds latencyObjective;
    /// Longest pause between events for which an answer is still on time.
    Base::Milliseconds eventGapObjective;
    /// 0 is the most urgent.
    int priority = 0;
    /// Servers that one request may be sent to at most.
    int maxAttempts = 1;
    /// Needs no key.
    bool isPublic = false;
    /// Requests share parts of their prompts, so that it matters which server reads them.
    bool hasSharedPrompts = false;
    /// A stream may go on at another server after the last event that was received.
    bool canResume = false;
    std::vector<WeightedService> services;

    /// True when a request may run more than once.
    bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && canResume);
    }
};

} // namespace Carawaykeel::Forwarding
