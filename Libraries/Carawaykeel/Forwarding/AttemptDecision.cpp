#include <Carawaykeel/Forwarding/AttemptDecision.h>

namespace Carawaykeel::Forwarding {

namespace {

/// True when the request has not run at the server and never will.
bool hasCertainlyNotRun(AttemptOutcome end)
{
    return end == AttemptOutcome::NotSent || end == AttemptOutcome::RefusedByServer;
}

bool mayTryAgain(const Route &route, const AttemptState &state)
{
    if (!state.hasOtherServer)
        return false;
    // A request that was not sent anywhere is no repeat.
    if (state.outcome == AttemptOutcome::NotSent)
        return state.sentAttempts < route.maxAttempts;
    if (!state.hasRetryBudget || state.sentAttempts >= route.maxAttempts)
        return false;
    if (state.hasResponseStarted)
        return route.kind == RouteKind::Stream && route.canResume;
    return route.isIdempotent() || hasCertainlyNotRun(state.outcome);
}

Base::ErrorKind kindOf(const AttemptState &state)
{
    switch (state.outcome) {
    case AttemptOutcome::NotSent:
        return state.mayHaveRun ? Base::ErrorKind::ServerConnectionLost
                                : Base::ErrorKind::NoServerAvailable;
    case AttemptOutcome::RefusedByServer:
        return state.mayHaveRun ? Base::ErrorKind::ServerConnectionLost
                                : Base::ErrorKind::QueueFull;
    case AttemptOutcome::InvalidResponse:
        return Base::ErrorKind::ResponseMismatch;
    case AttemptOutcome::FailedByServer:
    case AttemptOutcome::ConnectionLost:
        break;
    }
    return Base::ErrorKind::ServerConnectionLost;
}

} // namespace

std::string_view nameOf(AttemptOutcome end)
{
    switch (end) {
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::RefusedByServer:
        return "refused_by_server";
    case AttemptOutcome::FailedByServer:
        return "failed_by_server";
    case AttemptOutcome::ConnectionLost:
        return "broken";
    case AttemptOutcome::InvalidResponse:
        return "garbled";
    }
    return "unknown";
}

std::string_view nameOf(NextStep step)
{
    switch (step) {
    case NextStep::Retry:
        return "try_again";
    case NextStep::ForwardFailure:
        return "pass_on";
    case NextStep::Fail:
        return "fail";
    case NextStep::AbortResponse:
        return "break_off";
    }
    return "unknown";
}

AttemptDecision decideAfterAttempt(const Route &route, const AttemptState &state)
{
    const auto kind = kindOf(state);
    if (mayTryAgain(route, state))
        return {NextStep::Retry, kind};
    if (state.hasResponseStarted)
        return {NextStep::AbortResponse, kind};
    if (state.outcome == AttemptOutcome::FailedByServer)
        return {NextStep::ForwardFailure, kind};
    return {NextStep::Fail, kind};
}

} // namespace Carawaykeel::Forwarding
