#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Routing/Priority.h>
#include <Carawaykeel/Routing/ServerChooser.h>

namespace Carawaykeel::Requests {

/// What the decision logic needs to know about a caller's request.
struct RequestDescription
{
    RequestKey key;
    /// True when the caller sent an Idempotency-Key, which a retry may carry again.
    bool hasCallerKey = false;
    bool isIdempotent = true;
    Base::BudgetId budget;
    Base::ServiceName service;
    Routing::Priority priority = Routing::Priority::Normal;
    /// The tokens to reserve: the prompt and the longest possible response.
    Base::Tokens wanted;
    /// The smallest reservation that is acceptable to the caller.
    Base::Tokens least;
    Routing::RouteHint hint;
    /// How long the request may wait for a server.
    Base::Milliseconds patience{30'000};
};

} // namespace Carawaykeel::Requests
