// Checks the figures of one scenario against the targets: no overspend in any case, and no false
// refusal where the budget is twice the demand or all instances are connected.
#include "PolicyRun.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>

int main(int argc, char **argv)
{
    using namespace Carawaykeel;
    using namespace Carawaykeel::Benchmarks;
    constexpr std::uint64_t Seed = 42;
    constexpr double MaxWritesPerSecond = 100;
    CLI::App app("policy-bounds: one scenario against its targets");
    std::string name;
    app.add_option("scenario", name, "Name of the scenario")->required();
    CLI11_PARSE(app, argc, argv);
    for (const auto &scenario : allScenarios()) {
        if (scenario.name != name)
            continue;
        const auto figures = runFleet(scenario, {}, Seed);
        fmt::print("{}: {} requests, {} refused, {} of them falsely, {} tokens overspent, {:.2f} "
                   "writes/s\n",
            name, figures.requests, figures.refused, figures.falseRefusals,
            figures.overspend.count(), figures.writesPerSecond);
        const bool meetsTargets = figures.falseRefusals == 0 && figures.overspend == Base::Tokens()
            && figures.writesPerSecond <= MaxWritesPerSecond;
        return meetsTargets ? 0 : 1;
    }
    fmt::print("no such scenario: {}\n", name);
    return 2;
}
