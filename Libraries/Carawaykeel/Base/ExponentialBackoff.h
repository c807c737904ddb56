#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <random>

namespace Carawaykeel::Base {

/// The seeded random number generator for all random decisions of an instance.
using RandomEngine = std::mt19937_64;

/// Retry delays with exponential backoff. The interval doubles from the minimum to the maximum;
/// each delay is drawn uniformly from its upper half, so that instances do not retry in lockstep.
class ExponentialBackoff
{
public:
    ExponentialBackoff(Milliseconds minDelay, Milliseconds maxDelay);

    /// Returns the delay before the next retry and doubles the interval up to the maximum.
    Milliseconds nextDelay(RandomEngine &random);

    /// Sets the interval back to the minimum.
    void reset();

private:
    Milliseconds m_minDelay;
    Milliseconds m_maxDelay;
    Milliseconds m_currentDelay;
};

} // namespace Carawaykeel::Base
