#include <Carawaykeel/Budget/UsageRate.h>

#include <algorithm>
#include <numeric>

namespace Carawaykeel::Budget {

void UsageRate::roll(Base::Milliseconds now)
{
    for (std::size_t n = 0; n < SlotCount && now - m_slotStart >= SlotLength; ++n) {
        m_current = (m_current + 1) % SlotCount;
        m_slots.at(m_current) = Base::Tokens();
        m_slotStart += SlotLength;
    }
    if (now - m_slotStart >= SlotLength)
        m_slotStart = now;
}

void UsageRate::note(Base::Tokens tokens, Base::Milliseconds now)
{
    if (!m_isUsed) {
        m_firstUse = m_slotStart = now;
        m_isUsed = true;
    }
    roll(now);
    m_slots.at(m_current) += tokens;
}

Base::Tokens UsageRate::expected(Base::Milliseconds span, Base::Milliseconds now)
{
    if (!m_isUsed)
        return {};
    roll(now);
    const auto sum = std::accumulate(m_slots.begin(), m_slots.end(), Base::Tokens());
    const auto covered =
        std::min(now - m_firstUse, SlotLength * (SlotCount - 1) + (now - m_slotStart));
    return sum * span.count() / std::max(covered, ShortestTime).count();
}

} // namespace Carawaykeel::Budget
