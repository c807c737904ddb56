#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Routing {

/// The dials of the choice of a backend server and of the queue before them.
struct RoutingPolicy
{
    /// The server that has the prompt's prefix is taken while its load is at most this many times
    /// the mean.
    double affinityLoadBound = 1.25;
    /// A reported load counts half after this time.
    Base::Milliseconds loadHalfLife{1'000};
    /// Failures in a row before a server is ejected.
    int consecutiveFailuresToEject = 3;
    Base::Milliseconds minEjectionTime{1'000};
    Base::Milliseconds maxEjectionTime{60'000};
    /// At least this share of a service's servers is kept, however they fail.
    double minServerShare = 0.5;
    /// Waiting requests of one service at most.
    std::size_t queueLimit = 512;
    /// Retries may be this share of the requests.
    double retryRatio = 0.1;
    /// Retries that may be made before the share is looked at.
    double retryBurst = 5;
    /// Slots of each service that only Urgent and High requests may take, as a share.
    double reservedSlotShare = 0.1;
};

} // namespace Carawaykeel::Routing
