#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <string>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// The fault that is injected in a scenario.
enum class Fault {
    None,
    /// The platform is down for an hour.
    PlatformOutage,
    /// One data centre is cut off from the others and from the platform for an hour.
    Partition,
    /// As Partition, with top-ups requested on both sides.
    PartitionWithTopUps,
    /// An instance is killed every two minutes and restarts as a new incarnation.
    Crashes,
    /// Every instance is shut down and replaced, one after another.
    RollingReplacement,
    /// Instances are paused in turn for twenty seconds, which exceeds every timeout.
    Pauses,
};

/// A seeded workload with its fault, the same for every scheme.
struct PolicyScenario
{
    std::string name;
    int instances = 8;
    int teams = 1;
    /// Ratio of the sum of all budgets to the expected demand.
    double budgetPerDemand = 2;
    /// If set, all instances use each budget; otherwise each team uses a subset of them.
    bool isHotBudget = false;
    Base::Milliseconds span{7'200'000};
    double requestsPerSecond = 5;
    Fault fault = Fault::None;

    static constexpr Base::Tokens WorstCase{600};
    static constexpr std::int64_t MinUsed = 100;
    static constexpr std::int64_t MaxUsed = 500;

    /// Returns the expected number of tokens that all requests use together.
    Base::Tokens demand() const;
    /// Returns the tokens of each team's budget.
    Base::Tokens budgetPerTeam() const;
};

/// Returns the scenarios of docs/MEASUREMENTS.md.
std::vector<PolicyScenario> allScenarios();

/// Results of one run.
struct PolicyFigures
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    /// Requests that were refused although the budget had enough tokens over the whole fleet.
    std::uint64_t falseRefusals = 0;
    Base::Tokens overspend;
    /// Maximum share of the budgets that was held by instances that could not spend it.
    double maxStrandedShare = 0;
    double writesPerSecond = 0;
    /// 99th percentile of the time from sending a request to its admission.
    std::int64_t decisionP99Milliseconds = 0;
};

} // namespace Carawaykeel::Benchmarks
