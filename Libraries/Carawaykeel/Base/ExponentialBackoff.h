#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <random>

namespace Carawaykeel::Base {

/// The seeded source of all randomness of an instance's decisions.
using RandomEngine = std::mt19937_64;

/// Pauses between tries that double from the smallest to the largest, each drawn evenly from the
/// upper half so that instances do not try in step.
class ExponentialBackoff
{
public:
    ExponentialBackoff(Milliseconds smallest, Milliseconds largest);

    /// The pause before the next try.
    Milliseconds nextDelay(RandomEngine &random);

    /// Begins again at the smallest pause.
    void reset();

private:
    Milliseconds m_smallest;
    Milliseconds m_largest;
    Milliseconds m_current;
};

} // namespace Carawaykeel::Base
