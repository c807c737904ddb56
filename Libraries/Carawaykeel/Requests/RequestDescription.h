#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Routing/Priority.h>
#include <Carawaykeel/Routing/ServerChooser.h>

namespace Carawaykeel::Requests {

/// What the decisions need to know of a caller's request.
struct RequestDescription
{
    RequestKey key;
    /// True when the caller chose the key, so that a retry may carry it again.
    bool hasCallerKey = false;
    bool isIdempotent = true;
    Base::BudgetId budget;
    Base::ServiceName service;
    Routing::Priority priority = Routing::Priority::Normal;
    /// The worst case: prompt and longest answer.
    Base::Tokens wanted;
    /// The least that is of use to the caller.
    Base::Tokens least;
    Routing::RouteHint hint;
    /// How long the request may wait for a server.
    Base::Milliseconds patience{30'000};
};

} // namespace Carawaykeel::Requests
