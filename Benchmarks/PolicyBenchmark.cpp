// Measures overspend and false refusals of the router's budget policy and of simpler schemes on the
// same seeded workloads and faults, in virtual time. Prints the tables of docs/MEASUREMENTS.md.
#include "BaselineSchemes.h"
#include "PolicyRun.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <functional>
#include <future>
#include <string>
#include <vector>

namespace {

using namespace Carawaykeel;
using namespace Carawaykeel::Benchmarks;

constexpr std::uint64_t Seed = 42;

/// A scheme for sharing budgets, with its name in the table.
struct Scheme
{
    std::string name;
    std::function<PolicyFigures(const PolicyScenario &)> run;
};

Scheme fleetScheme(const std::string &name, const Budget::BudgetPolicy &policy)
{
    return {name,
        [policy](const PolicyScenario &scenario) { return runFleet(scenario, policy, Seed); }};
}

std::vector<Scheme> allSchemes()
{
    std::vector<Scheme> schemes{fleetScheme("carawaykeel", {})};
    Budget::BudgetPolicy noRecall;
    noRecall.maxRecallRounds = 0;
    schemes.push_back(fleetScheme("carawaykeel without recall", noRecall));
    for (const auto baseline :
        {Baseline::TransactionPerRequest, Baseline::EqualSplit, Baseline::ExpiringLeases}) {
        schemes.push_back({nameOf(baseline), [baseline](const PolicyScenario &scenario) {
                               return runBaseline(baseline, scenario, Seed);
                           }});
    }
    return schemes;
}

std::vector<Scheme> horizonSchemes()
{
    std::vector<Scheme> schemes;
    for (const auto seconds : {10, 60, 300, 1'200, 4'500, 9'000}) {
        Budget::BudgetPolicy policy;
        policy.horizon = Base::Milliseconds(seconds * 1'000);
        schemes.push_back(fleetScheme(fmt::format("horizon {} s", seconds), policy));
    }
    return schemes;
}

void printRow(const std::string &scenario, const std::string &scheme, const PolicyFigures &figures)
{
    fmt::print("| {} | {} | {} | {} | {} | {} | {:.2f}% | {:.2f} | {} |\n", scenario, scheme,
        figures.requests, figures.refused, figures.falseRefusals, figures.overspend.count(),
        100 * figures.maxStrandedShare, figures.writesPerSecond, figures.decisionP99Milliseconds);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("policy-benchmark: overspend and false refusals, in virtual time");
    std::string nameFilter;
    bool variesHorizon = false;
    std::size_t jobs = 4;
    app.add_option("--only", nameFilter, "Run only the scenarios whose names contain this text");
    app.add_flag("--horizon", variesHorizon, "Vary the horizon instead of the scheme");
    app.add_option("--jobs", jobs, "Number of parallel runs");
    CLI11_PARSE(app, argc, argv);
    fmt::print("| scenario | scheme | requests | refused | false refusals | overspend, tokens | "
               "most stranded | writes/s | decision p99, ms |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|\n");
    std::vector<std::function<std::function<void()>()>> runs;
    for (const auto &scenario : allScenarios()) {
        if (scenario.name.find(nameFilter) == std::string::npos)
            continue;
        for (const auto &scheme : variesHorizon ? horizonSchemes() : allSchemes()) {
            runs.push_back([scenario, scheme]() -> std::function<void()> {
                const auto figures = scheme.run(scenario);
                return
                    [scenario, scheme, figures] { printRow(scenario.name, scheme.name, figures); };
            });
        }
    }
    for (std::size_t batchStart = 0; batchStart < runs.size(); batchStart += jobs) {
        std::vector<std::future<std::function<void()>>> batch;
        for (auto n = batchStart; n < std::min(runs.size(), batchStart + jobs); ++n)
            batch.push_back(std::async(std::launch::async, runs[n]));
        for (auto &pending : batch)
            pending.get()();
    }
    return 0;
}
