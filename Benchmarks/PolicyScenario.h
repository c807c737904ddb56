#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <string>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// What goes wrong in a scenario.
enum class Trouble {
    None,
    /// The platform is down for an hour.
    PlatformOutage,
    /// One data centre is cut off from the others and from the platform for an hour.
    Partition,
    /// The same, with top-ups tried on both sides.
    PartitionWithTopUps,
    /// An instance dies every two minutes and comes back as another life.
    Deaths,
    /// Every instance is shut down and replaced, one after another.
    RollingReplacement,
    /// Instances are paused for twenty seconds now and then, past every timeout.
    Pauses,
};

/// A workload with its trouble; the same for every scheme, by the seed.
struct PolicyScenario
{
    std::string name;
    int instances = 8;
    int teams = 1;
    /// The budgets together, as a multiple of what the callers ask for.
    double budgetPerDemand = 2;
    /// True: every instance draws on every budget; false: each team has its subset.
    bool isHot = false;
    Base::Milliseconds span{7'200'000};
    double requestsPerSecond = 5;
    Trouble trouble = Trouble::None;

    static constexpr Base::Tokens WorstCase{600};
    static constexpr std::int64_t LeastUsed = 100;
    static constexpr std::int64_t MostUsed = 500;

    /// What all requests together use, in the mean.
    Base::Tokens demand() const;
    Base::Tokens eachBudget() const;
};

/// The scenarios of the measurements page.
std::vector<PolicyScenario> allScenarios();

/// What came of one run.
struct PolicyFigures
{
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    /// Refused though the budget, summed over the fleet, would have allowed it.
    std::uint64_t falseRefusals = 0;
    Base::Tokens overspend;
    /// The most tokens that were out with instances that could not spend them.
    double mostStrandedShare = 0;
    double writesPerSecond = 0;
    /// Time to the leave to dispatch, for 99 in 100.
    std::int64_t decisionMilliseconds = 0;
};

} // namespace Carawaykeel::Benchmarks
