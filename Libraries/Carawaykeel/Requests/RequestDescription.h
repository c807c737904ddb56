#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Routing/Priority.h>
#include <Carawaykeel/Routing/ServerSelection.h>

namespace Carawaykeel::Requests {

/// What the decision logic needs to know about a caller's request.
struct RequestDescription
{
    RequestKey key;
    /// True when the caller sent an Idempotency-Key, which a retry may carry again.
    bool hasIdempotencyKey = false;
    bool isIdempotent = true;
    Base::BudgetId budget;
    Base::ServiceName service;
    Routing::Priority priority = Routing::Priority::Normal;
    /// The tokens to reserve: the prompt and the longest possible response.
    Base::Tokens requestedTokens;
    /// The smallest reservation that is acceptable to the caller.
    Base::Tokens minimumTokens;
    Routing::ServerPreference serverPreference;
    /// How long the request may wait for a server.
    Base::Milliseconds queueTimeout{30'000};
};

} // namespace Carawaykeel::Requests
