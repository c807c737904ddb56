#include "PolicyScenario.h"

namespace Carawaykeel::Benchmarks {

namespace {

constexpr double MillisecondsPerSecond = 1'000;

} // namespace

Base::Tokens PolicyScenario::demand() const
{
    const auto requests =
        requestsPerSecond * static_cast<double>(span.count()) / MillisecondsPerSecond;
    return Base::Tokens(static_cast<std::int64_t>(requests * (LeastUsed + MostUsed) / 2));
}

Base::Tokens PolicyScenario::eachBudget() const
{
    return Base::Tokens(
        static_cast<std::int64_t>(static_cast<double>(demand().count()) * budgetPerDemand / teams));
}

std::vector<PolicyScenario> allScenarios()
{
    return {
        {"morning, ten teams", 8, 10, 2, false},
        {"near exhaustion, ten teams", 8, 10, 0.8, false},
        {"near exhaustion, hot budget", 8, 1, 0.8, true},
        {"platform outage of an hour", 8, 10, 2, false, Base::Milliseconds(7'200'000), 5,
            Trouble::PlatformOutage},
        {"platform outage, hot budget", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Trouble::PlatformOutage},
        {"data centre cut off for an hour", 8, 10, 2, false, Base::Milliseconds(7'200'000), 5,
            Trouble::Partition},
        {"data centre cut off, hot budget", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Trouble::Partition},
        {"cut off with top-ups on both sides", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Trouble::PartitionWithTopUps},
        {"deaths every two minutes", 8, 10, 2, false, Base::Milliseconds(3'600'000), 5,
            Trouble::Deaths},
        {"rolling replacement", 8, 10, 2, false, Base::Milliseconds(3'600'000), 5,
            Trouble::RollingReplacement},
        {"pauses, near exhaustion", 7, 1, 0.8, true, Base::Milliseconds(3'600'000), 5,
            Trouble::Pauses},
    };
}

} // namespace Carawaykeel::Benchmarks
