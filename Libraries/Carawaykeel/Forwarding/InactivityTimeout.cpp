#include <Carawaykeel/Forwarding/InactivityTimeout.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

namespace {

/// An answer that is late by this many times the objective is not waited for any longer...
constexpr int SilentObjectives = 3;
/// ...but nothing is given up before this.
constexpr Base::Milliseconds ShortestSilence{300};
/// Twice what the users' engines take for the longest prompts: 54,600 tokens in 1,650 ms.
constexpr std::int64_t MillisecondsPerThousandTokens = 60;
constexpr std::int64_t Thousand = 1'000;

} // namespace

Base::Milliseconds inactivityTimeout(const Route &route, Base::Tokens tokensToRead)
{
    const auto usual = route.kind == RouteKind::Stream
        ? std::max(route.latencyObjective, route.eventGapObjective * 2)
        : route.latencyObjective * SilentObjectives;
    const auto reading =
        Base::Milliseconds(tokensToRead.count() * MillisecondsPerThousandTokens / Thousand);
    return std::max(ShortestSilence, usual) + reading;
}

} // namespace Carawaykeel::Forwarding
