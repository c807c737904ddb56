#pragma once

#include "PolicyScenario.h"

#include <Carawaykeel/Budget/BudgetPolicy.h>

#include <cstdint>

namespace Carawaykeel::Benchmarks {

/// Times and intervals of the injected faults in milliseconds; times count from the first request.
struct FaultTimes
{
    static constexpr std::int64_t Start = 1'200'000;
    static constexpr std::int64_t End = Start + 3'600'000;
    static constexpr std::int64_t CrashInterval = 120'000;
    static constexpr std::int64_t ReplacementInterval = 60'000;
    static constexpr std::int64_t PauseInterval = 40'000;
    static constexpr std::int64_t PauseDuration = 20'000;
};

/// Simulates a scenario with the router's own decision code in virtual time and returns its
/// figures.
PolicyFigures runFleet(
    const PolicyScenario &scenario, const Budget::BudgetPolicy &policy, std::uint64_t seed);

} // namespace Carawaykeel::Benchmarks
