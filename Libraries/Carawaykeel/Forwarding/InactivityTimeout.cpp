#include <Carawaykeel/Forwarding/InactivityTimeout.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

namespace {

/// Inactivity timeout of a response that is not a stream, as a multiple of the latency objective.
constexpr int ObjectiveMultiple = 3;
/// Lower bound of the inactivity timeout.
constexpr Base::Milliseconds MinTimeout{300};
/// Time allowed for processing a prompt. This is twice the time that the engines in use take for
/// the longest prompts: 54,600 tokens in 1,650 ms.
constexpr std::int64_t MillisecondsPerThousandTokens = 60;
constexpr std::int64_t Thousand = 1'000;

} // namespace

Base::Milliseconds inactivityTimeout(const Route &route, Base::Tokens tokensToProcess)
{
    const auto baseTimeout = route.kind == RouteKind::Stream
        ? std::max(route.latencyObjective, route.eventGapObjective * 2)
        : route.latencyObjective * ObjectiveMultiple;
    const auto processingTime =
        Base::Milliseconds(tokensToProcess.count() * MillisecondsPerThousandTokens / Thousand);
    return std::max(MinTimeout, baseTimeout) + processingTime;
}

} // namespace Carawaykeel::Forwarding
