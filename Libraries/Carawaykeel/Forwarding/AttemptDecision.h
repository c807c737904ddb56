#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Forwarding/Route.h>

#include <string_view>

namespace Carawaykeel::Forwarding {

/// How one attempt at a server ended.
enum class AttemptOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The server said that it has not run the request.
    RefusedByServer,
    /// The server answered with a failure of its own.
    FailedByServer,
    /// The connection ended or was silent before a whole answer.
    ConnectionLost,
    /// What came was no answer to this request.
    InvalidResponse,
};

/// The word for an end in logs.
std::string_view nameOf(AttemptOutcome end);

/// What is known when an attempt has ended without a whole good answer.
struct AttemptState
{
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    /// Servers that the request was sent to, this one counted.
    int sentAttempts = 0;
    /// This or an earlier server may have worked on the request.
    bool mayHaveRun = false;
    /// Part of an answer has gone to the caller.
    bool hasResponseStarted = false;
    /// The fleet's retry budget has one left.
    bool hasRetryBudget = false;
    /// Another server can take the request in the time that is left.
    bool hasOtherServer = false;
};

enum class NextStep {
    /// Send the request to another server from its beginning, or after the last event passed on.
    Retry,
    /// Pass the server's own failure on.
    ForwardFailure,
    /// Answer with a failure of the given kind.
    Fail,
    /// Break the caller's connection: part of an answer has gone and its rest will not come.
    AbortResponse,
};

/// The word for a step in logs.
std::string_view nameOf(NextStep step);

struct AttemptDecision
{
    NextStep step = NextStep::Fail;
    Base::ErrorKind kind = Base::ErrorKind::Internal;
};

/// What to do after an attempt that has not succeeded.
AttemptDecision decideAfterAttempt(const Route &route, const AttemptState &state);

} // namespace Carawaykeel::Forwarding
