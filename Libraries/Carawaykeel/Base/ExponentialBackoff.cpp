#include <Carawaykeel/Base/ExponentialBackoff.h>

#include <algorithm>

namespace Carawaykeel::Base {

ExponentialBackoff::ExponentialBackoff(Milliseconds smallest, Milliseconds largest)
    : m_smallest(smallest)
    , m_largest(largest)
    , m_current(smallest)
{
}

Milliseconds ExponentialBackoff::nextDelay(RandomEngine &random)
{
    const auto longest = m_current;
    m_current = std::min(m_current * 2, m_largest);
    std::uniform_int_distribution<std::int64_t> pause(longest.count() / 2, longest.count());
    return Milliseconds(pause(random));
}

void ExponentialBackoff::reset()
{
    m_current = m_smallest;
}

} // namespace Carawaykeel::Base
