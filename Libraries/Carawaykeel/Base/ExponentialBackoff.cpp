#include <Carawaykeel/Base/ExponentialBackoff.h>

#include <algorithm>

namespace Carawaykeel::Base {

ExponentialBackoff::ExponentialBackoff(Milliseconds minDelay, Milliseconds maxDelay)
    : m_minDelay(minDelay)
    , m_maxDelay(maxDelay)
    , m_currentDelay(minDelay)
{
}

Milliseconds ExponentialBackoff::nextDelay(RandomEngine &random)
{
    const auto upperBound = m_currentDelay;
    m_currentDelay = std::min(m_currentDelay * 2, m_maxDelay);
    std::uniform_int_distribution<std::int64_t> distribution(
        upperBound.count() / 2, upperBound.count());
    return Milliseconds(distribution(random));
}

void ExponentialBackoff::reset()
{
    m_currentDelay = m_minDelay;
}

} // namespace Carawaykeel::Base
