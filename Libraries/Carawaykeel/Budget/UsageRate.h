#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <array>
#include <cstddef>

namespace Carawaykeel::Budget {

/// The rate at which a budget is used here, over the last ten minutes: long enough that a team that
/// asks every few seconds has a steady one.
class UsageRate
{
public:
    /// Counts tokens that were used.
    void note(Base::Tokens tokens, Base::Milliseconds now);

    /// What will be used within the span if the use goes on as it did.
    Base::Tokens expected(Base::Milliseconds span, Base::Milliseconds now);

private:
    static constexpr std::size_t SlotCount = 10;
    static constexpr Base::Milliseconds SlotLength{60'000};
    /// A young rate is taken over at least this time, so that one request is not taken for many.
    static constexpr Base::Milliseconds ShortestTime{20'000};

    void roll(Base::Milliseconds now);

    std::array<Base::Tokens, SlotCount> m_slots{};
    std::size_t m_current = 0;
    Base::Milliseconds m_slotStart;
    Base::Milliseconds m_firstUse;
    bool m_isUsed = false;
};

} // namespace Carawaykeel::Budget
