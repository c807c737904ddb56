#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>

namespace Carawaykeel::Budget {

/// What a request asks of its budget before it may be dispatched.
struct ReservationRequest
{
    Base::BudgetId budget;
    Base::TeamId team;
    Base::RequestId request;
    Base::ServiceName service;
    /// The worst case that is wanted.
    Base::Tokens requested;
    /// The least that is of use; equal to wanted when the caller fixed the limit.
    Base::Tokens minimum;
};

/// Tokens set aside for one request and recorded by the grant's witness.
struct Reservation
{
    Base::GrantId grant;
    std::uint64_t number = 0;
    Base::Tokens tokens;
};

} // namespace Carawaykeel::Budget
