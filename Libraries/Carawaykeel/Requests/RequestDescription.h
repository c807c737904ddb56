#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Routing/Priority.h>
#include <Carawaykeel/Routing/ServerSelection.h>

namespace Carawaykeel::Requests {

/// What the decisions need to know of a caller's request.
struct RequestDescription
{
    RequestKey key;
    /// True when the caller chose the key, so that a retry may carry it again.
    bool hasIdempotencyKey = false;
    bool isIdempotent = true;
    Base::BudgetId budget;
    Base::ServiceName service;
    Routing::Priority priority = Routing::Priority::Normal;
    /// The worst case: prompt and longest answer.
    Base::Tokens requestedTokens;
    /// The least that is of use to the caller.
    Base::Tokens minimumTokens;
    Routing::ServerPreference hint;
    /// How long the request may wait for a server.
    Base::Milliseconds queueTimeout{30'000};
};

} // namespace Carawaykeel::Requests
