#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Routing {

/// Parameters of server selection, ejection, queueing and retries.
struct RoutingPolicy
{
    /// The server preferred for the prompt's prefix is selected while its load is at most this many
    /// times the mean.
    double affinityLoadBound = 1.25;
    /// The weight of a reported load halves in this time.
    Base::Milliseconds loadHalfLife{1'000};
    /// Consecutive failures after which a server is ejected.
    int consecutiveFailuresToEject = 3;
    Base::Milliseconds minEjectionTime{1'000};
    Base::Milliseconds maxEjectionTime{60'000};
    /// At least this share of a service's servers stays eligible, even if more are ejected.
    double minServerShare = 0.5;
    /// Maximum number of queued requests of one service.
    std::size_t queueLimit = 512;
    /// Retries that each request earns.
    double retryRatio = 0.1;
    /// Maximum number of retries saved up, and the number available at the start.
    double retryBurst = 5;
    /// The share of each service's slots that is reserved for Urgent and High requests.
    double reservedSlotShare = 0.1;
};

} // namespace Carawaykeel::Routing
