#include <Carawaykeel/Budget/UsageRate.h>

#include <algorithm>
#include <numeric>

namespace Carawaykeel::Budget {

void UsageRate::advance(Base::Milliseconds now)
{
    for (std::size_t n = 0; n < SlotCount && now - m_slotStart >= SlotLength; ++n) {
        m_currentSlot = (m_currentSlot + 1) % SlotCount;
        m_slots.at(m_currentSlot) = Base::Tokens();
        m_slotStart += SlotLength;
    }
    if (now - m_slotStart >= SlotLength)
        m_slotStart = now;
}

void UsageRate::record(Base::Tokens tokens, Base::Milliseconds now)
{
    if (!m_isUsed) {
        m_firstUse = m_slotStart = now;
        m_isUsed = true;
    }
    advance(now);
    m_slots.at(m_currentSlot) += tokens;
}

Base::Tokens UsageRate::expectedUse(Base::Milliseconds span, Base::Milliseconds now)
{
    if (!m_isUsed)
        return {};
    advance(now);
    const auto sum = std::accumulate(m_slots.begin(), m_slots.end(), Base::Tokens());
    const auto observedTime =
        std::min(now - m_firstUse, SlotLength * (SlotCount - 1) + (now - m_slotStart));
    return sum * span.count() / std::max(observedTime, MinObservedTime).count();
}

} // namespace Carawaykeel::Budget
