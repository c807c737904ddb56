#include "PolicyScenario.h"

namespace Carawaykeel::Benchmarks {

namespace {

constexpr double MillisecondsPerSecond = 1'000;

} // namespace

Base::Tokens PolicyScenario::demand() const
{
    const auto requests =
        requestsPerSecond * static_cast<double>(span.count()) / MillisecondsPerSecond;
    return Base::Tokens(static_cast<std::int64_t>(requests * (MinUsed + MaxUsed) / 2));
}

Base::Tokens PolicyScenario::budgetPerTeam() const
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
            Fault::PlatformOutage},
        {"platform outage, hot budget", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Fault::PlatformOutage},
        {"data centre cut off for an hour", 8, 10, 2, false, Base::Milliseconds(7'200'000), 5,
            Fault::Partition},
        {"data centre cut off, hot budget", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Fault::Partition},
        {"cut off with top-ups on both sides", 8, 1, 2, true, Base::Milliseconds(7'200'000), 5,
            Fault::PartitionWithTopUps},
        {"deaths every two minutes", 8, 10, 2, false, Base::Milliseconds(3'600'000), 5,
            Fault::Crashes},
        {"rolling replacement", 8, 10, 2, false, Base::Milliseconds(3'600'000), 5,
            Fault::RollingReplacement},
        {"pauses, near exhaustion", 7, 1, 0.8, true, Base::Milliseconds(3'600'000), 5,
            Fault::Pauses},
    };
}

} // namespace Carawaykeel::Benchmarks
