#include <Carawaykeel/Forwarding/AttemptDecision.h>

namespace Carawaykeel::Forwarding {

namespace {

/// Returns true when the server did not execute the request and never will.
bool isCertainlyNotExecuted(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::RefusedByServer;
}

bool isRetryAllowed(const Route &route, const AttemptState &state)
{
    if (!state.hasOtherServer)
        return false;
    // An attempt that sent nothing does not count as a retry, so the retry budget does not apply.
    if (state.outcome == AttemptOutcome::NotSent)
        return state.sentAttempts < route.maxAttempts;
    if (!state.hasRetryBudget || state.sentAttempts >= route.maxAttempts)
        return false;
    if (state.hasResponseStarted)
        return route.kind == RouteKind::Stream && route.canResume;
    return route.isIdempotent() || isCertainlyNotExecuted(state.outcome);
}

Base::ErrorKind errorKindOf(const AttemptState &state)
{
    switch (state.outcome) {
    case AttemptOutcome::NotSent:
        return state.mayHaveRun ? Base::ErrorKind::ServerFailed
                                : Base::ErrorKind::NoServerAvailable;
    case AttemptOutcome::RefusedByServer:
        return state.mayHaveRun ? Base::ErrorKind::ServerFailed : Base::ErrorKind::QueueFull;
    case AttemptOutcome::InvalidResponse:
        return Base::ErrorKind::ResponseMismatch;
    case AttemptOutcome::FailedByServer:
    case AttemptOutcome::ConnectionLost:
        break;
    }
    return Base::ErrorKind::ServerFailed;
}

} // namespace

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
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
    const auto kind = errorKindOf(state);
    if (isRetryAllowed(route, state))
        return {NextStep::Retry, kind};
    if (state.hasResponseStarted)
        return {NextStep::AbortResponse, kind};
    // The caller would take such a status for a promise, which the server does not make.
    if (state.outcome == AttemptOutcome::FailedByServer && !state.hasNotExecutedStatus)
        return {NextStep::ForwardFailure, kind};
    return {NextStep::Fail, kind};
}

} // namespace Carawaykeel::Forwarding
