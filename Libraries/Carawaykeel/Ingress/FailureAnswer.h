#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/Caller.h>

namespace Carawaykeel::Ingress {

/// Sends the answer that the closed table of errors has for a failure, in the callers' dialect.
void answerWithFailure(
    Caller &caller, const Base::Failure &failure, const Forwarding::Dialect &dialect);

} // namespace Carawaykeel::Ingress
