#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/ResponseWriter.h>

namespace Carawaykeel::Ingress {

/// Sends the response that the error table defines for the failure, in the callers' dialect.
void sendErrorResponse(ResponseWriter &responseWriter, const Base::Failure &failure,
    const Forwarding::Dialect &dialect);

} // namespace Carawaykeel::Ingress
