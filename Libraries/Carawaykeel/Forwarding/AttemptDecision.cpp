#include <Carawaykeel/Forwarding/AttemptDecision.h>

namespace Carawaykeel::Forwarding {

namespace {

/// Returns true when the server did not execute the request and never will.
bool isCertainlyNotExecuted(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::RefusedByServer;
}

bool isRetryAllowed(const Route &route, const AttemptState &state)
{
    if (!state.hasOtherServer)
        return false;
    // An attempt that sent nothing does not count as a retry, so the retry budget does not apply.
    if (state.end == AttemptEnd::NotSent)
        return state.attemptsSent < route.maxAttempts;
    if (!state.mayRepeat || state.attemptsSent >= route.maxAttempts)
        return false;
    if (state.hasAnswerBegun)
        return route.kind == RouteKind::Stream && route.canResume;
    return route.isIdempotent() || isCertainlyNotExecuted(state.end);
}

Base::ErrorKind errorKindOf(const AttemptState &state)
{
    switch (state.end) {
    case AttemptEnd::NotSent:
        return state.mayHaveRun ? Base::ErrorKind::ServerBroke : Base::ErrorKind::NoServer;
    case AttemptEnd::RefusedByServer:
        return state.mayHaveRun ? Base::ErrorKind::ServerBroke : Base::ErrorKind::QueueFull;
    case AttemptEnd::Garbled:
        return Base::ErrorKind::AnswerCrossed;
    case AttemptEnd::FailedByServer:
    case AttemptEnd::Broken:
        break;
    }
    return Base::ErrorKind::ServerBroke;
}

} // namespace

std::string_view nameOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::RefusedByServer:
        return "refused_by_server";
    case AttemptEnd::FailedByServer:
        return "failed_by_server";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::Garbled:
        return "garbled";
    }
    return "unknown";
}

std::string_view nameOf(NextStep step)
{
    switch (step) {
    case NextStep::TryAgain:
        return "try_again";
    case NextStep::PassOn:
        return "pass_on";
    case NextStep::Fail:
        return "fail";
    case NextStep::BreakOff:
        return "break_off";
    }
    return "unknown";
}

AttemptDecision decideAfterAttempt(const Route &route, const AttemptState &state)
{
    const auto kind = errorKindOf(state);
    if (isRetryAllowed(route, state))
        return {NextStep::TryAgain, kind};
    if (state.hasAnswerBegun)
        return {NextStep::BreakOff, kind};
    if (state.end == AttemptEnd::FailedByServer)
        return {NextStep::PassOn, kind};
    return {NextStep::Fail, kind};
}

} // namespace Carawaykeel::Forwarding
