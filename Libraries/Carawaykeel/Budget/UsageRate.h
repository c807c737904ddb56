#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <array>
#include <cstddef>

namespace Carawaykeel::Budget {

/// The rate at which this instance uses a budget, over the last ten minutes: long enough for a
/// steady rate when a team sends a request every few seconds.
class UsageRate
{
public:
    /// Records used tokens.
    void record(Base::Tokens tokens, Base::Milliseconds now);

    /// Returns the expected use within `span` at the current rate.
    Base::Tokens expectedUse(Base::Milliseconds span, Base::Milliseconds now);

private:
    static constexpr std::size_t SlotCount = 10;
    static constexpr Base::Milliseconds SlotLength{60'000};
    /// A new rate is averaged over at least this time, so that a single request does not look like
    /// many.
    static constexpr Base::Milliseconds MinObservedTime{20'000};

    void advance(Base::Milliseconds now);

    std::array<Base::Tokens, SlotCount> m_slots{};
    std::size_t m_currentSlot = 0;
    Base::Milliseconds m_slotStart;
    Base::Milliseconds m_firstUse;
    bool m_isUsed = false;
};

} // namespace Carawaykeel::Budget
