#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>

namespace Carawaykeel::Budget {

/// The tokens that a request needs from its budget before it may be dispatched.
struct ReservationRequest
{
    Base::BudgetId budget;
    Base::TeamId team;
    Base::RequestId request;
    Base::ServiceName service;
    /// The worst-case number of tokens.
    Base::Tokens requested;
    /// The minimum that is of use; equal to `requested` if the caller set the limit.
    Base::Tokens minimum;
};

/// Tokens that are reserved for one request and recorded by the grant's witness.
struct Reservation
{
    Base::GrantId grant;
    std::uint64_t number = 0;
    Base::Tokens tokens;
};

} // namespace Carawaykeel::Budget
