#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Forwarding/Route.h>

namespace Carawaykeel::Forwarding {

/// How long a server may send nothing before the request goes on elsewhere.
///
/// While the prompt is not read, silence is no sign of a fault: the time that the tokens take, the
/// request's own and those before it, comes on top.
Base::Milliseconds inactivityTimeout(const Route &route, Base::Tokens tokensToRead);

} // namespace Carawaykeel::Forwarding
