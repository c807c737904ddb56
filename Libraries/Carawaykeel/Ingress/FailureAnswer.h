#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/Caller.h>

namespace Carawaykeel::Ingress {

/// Sends the response that the error table defines for the failure, in the callers' dialect.
void answerWithFailure(
    Caller &caller, const Base::Failure &failure, const Forwarding::Dialect &dialect);

} // namespace Carawaykeel::Ingress
