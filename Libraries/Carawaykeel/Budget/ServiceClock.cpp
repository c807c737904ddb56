#include <Carawaykeel/Budget/ServiceClock.h>

#include <algorithm>

namespace Carawaykeel::Budget {

void ServiceClock::onReply(Base::Milliseconds serviceNow, Base::Milliseconds localNow)
{
    // Each reply gives a lower bound of the offset; the greatest is the closest to the true one,
    // also after a process pause, which lowers all later bounds until the next reply.
    const auto offset = serviceNow - localNow;
    m_offset = m_isKnown ? std::max(m_offset, offset) : offset;
    m_isKnown = true;
}

std::optional<Base::Milliseconds> ServiceClock::earliestNow(Base::Milliseconds localNow) const
{
    if (!m_isKnown)
        return std::nullopt;
    return localNow + m_offset;
}

} // namespace Carawaykeel::Budget
