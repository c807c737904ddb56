#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/ResponseWriter.h>

namespace Carawaykeel::Ingress {

/// Sends the answer that the closed table of errors has for a failure, in the callers' dialect.
void sendErrorResponse(
    ResponseWriter &caller, const Base::Failure &failure, const Forwarding::Dialect &dialect);

} // namespace Carawaykeel::Ingress
