#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Forwarding/Route.h>

#include <string_view>

namespace Carawaykeel::Forwarding {

/// How one attempt at a server ended.
enum class AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The server reported that it did not execute the request.
    RefusedByServer,
    /// The server sent an error response and may have executed the request.
    FailedByServer,
    /// The connection closed before the end of the response, or the server sent nothing within the
    /// inactivity timeout.
    ConnectionLost,
    /// The response is malformed or does not belong to this request.
    InvalidResponse,
};

/// Returns the name of an outcome in logs.
std::string_view nameOf(AttemptOutcome outcome);

/// The state of a request after an attempt without a complete successful response.
struct AttemptState
{
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    /// Number of servers that the request was sent to, including this one.
    int sentAttempts = 0;
    /// This or an earlier server may have executed the request.
    bool mayHaveRun = false;
    /// Part of the response was sent to the caller.
    bool hasResponseStarted = false;
    /// The fleet's retry budget allows another retry.
    bool hasRetryBudget = false;
    /// Another server can process the request in the remaining time.
    bool hasOtherServer = false;
    /// The server's error response has a status that callers take as the promise that the request
    /// was not executed.
    bool hasNotExecutedStatus = false;
};

enum class NextStep {
    /// Send the request to another server, from the start or resuming after the last event that was
    /// forwarded.
    Retry,
    /// Forward the server's error response.
    ForwardFailure,
    /// Send an error response of the given kind.
    Fail,
    /// Abort the caller's connection, because part of the response was sent and cannot be
    /// completed.
    AbortResponse,
};

/// Returns the name of a step in logs.
std::string_view nameOf(NextStep step);

struct AttemptDecision
{
    NextStep step = NextStep::Fail;
    Base::ErrorKind kind = Base::ErrorKind::Internal;
};

/// Returns the next step after an attempt that did not succeed.
AttemptDecision decideAfterAttempt(const Route &route, const AttemptState &state);

} // namespace Carawaykeel::Forwarding
