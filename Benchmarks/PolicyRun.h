#pragma once

#include "PolicyScenario.h"

#include <Carawaykeel/Budget/BudgetPolicy.h>

#include <cstdint>

namespace Carawaykeel::Benchmarks {

/// The moments of a scenario's trouble, counted from the start of the requests.
struct TroubleTimes
{
    static constexpr std::int64_t Begin = 1'200'000;
    static constexpr std::int64_t End = Begin + 3'600'000;
    static constexpr std::int64_t DeathGap = 120'000;
    static constexpr std::int64_t RollingGap = 60'000;
    static constexpr std::int64_t PauseGap = 40'000;
    static constexpr std::int64_t Pause = 20'000;
};

/// Runs the project's own decisions through a scenario in virtual time.
PolicyFigures runFleet(
    const PolicyScenario &scenario, const Budget::BudgetPolicy &policy, std::uint64_t seed);

} // namespace Carawaykeel::Benchmarks
