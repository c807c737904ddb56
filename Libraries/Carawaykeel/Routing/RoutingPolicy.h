#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Routing {

/// Parameters of server selection, ejection, queueing and retries.
struct RoutingPolicy
{
    /// The server preferred for the prompt's prefix is selected while its load is at most this many
    /// times the mean.
    double affinityBound = 1.25;
    /// The weight of a reported load halves in this time.
    Base::Milliseconds loadHalfLife{1'000};
    /// Consecutive failures after which a server is ejected.
    int failuresToEject = 3;
    Base::Milliseconds smallestEjection{1'000};
    Base::Milliseconds largestEjection{60'000};
    /// At least this share of a service's servers stays eligible, even if more are ejected.
    double floorShare = 0.5;
    /// Maximum number of queued requests of one service.
    std::size_t queueLimit = 512;
    /// Retries that each request earns.
    double retryShare = 0.1;
    /// Maximum number of retries saved up, and the number available at the start.
    double retryReserve = 5;
    /// The share of each service's slots that is reserved for Urgent and High requests.
    double reservedShare = 0.1;
};

} // namespace Carawaykeel::Routing
