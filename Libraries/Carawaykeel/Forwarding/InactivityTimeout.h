#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Forwarding/Route.h>

namespace Carawaykeel::Forwarding {

/// Returns how long a server may send no bytes before the request is retried at another server.
///
/// A server sends nothing while it processes the prompt, so the limit includes the processing time
/// of the request's tokens and of those ahead of them.
Base::Milliseconds inactivityTimeout(const Route &route, Base::Tokens tokensToProcess);

} // namespace Carawaykeel::Forwarding
