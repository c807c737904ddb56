#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Billing/Bill.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Carawaykeel::Budget {

/// A reservation as the grant's witness keeps it.
struct WitnessedReservation
{
    Base::BudgetId budget;
    Base::TeamId team;
    Base::RequestId request;
    Base::ServiceName service;
    Base::Tokens tokens;
    Base::Milliseconds recordedAt;
    /// Set once the holder has settled it; kept until the platform has it.
    std::optional<Billing::Bill> bill;
};

/// A grant as its witness keeps it, in memory only.
struct WitnessedGrant
{
    bool isFenced = false;
    std::map<std::uint64_t, WitnessedReservation> open;
    /// Reservations that are over, so that a late copy of a message does not open them again.
    std::set<std::uint64_t> finished;

    /// What the open reservations and the kept bills come to.
    Base::Tokens counted() const
    {
        Base::Tokens sum;
        for (const auto &[number, reservation] : open)
            sum += reservation.bill ? reservation.bill->tokens : reservation.tokens;
        return sum;
    }
};

} // namespace Carawaykeel::Budget
