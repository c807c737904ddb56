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

/// A reservation as stored by the witness of its grant.
struct WitnessedReservation
{
    Base::BudgetId budget;
    Base::TeamId team;
    Base::RequestId request;
    Base::ServiceName service;
    Base::Tokens tokens;
    Base::Milliseconds recordedAt;
    /// Set once the holder has settled it; kept until it is in the table.
    std::optional<Billing::Bill> bill;
};

/// A grant as stored by its witness, in memory only.
struct WitnessedGrant
{
    bool isFenced = false;
    std::map<std::uint64_t, WitnessedReservation> openReservations;
    /// Finished reservations, kept so that a late duplicate message does not open them again.
    std::set<std::uint64_t> finished;

    /// Returns the sum of the open reservations and of the bills that are not in the table yet.
    Base::Tokens outstandingTokens() const
    {
        Base::Tokens sum;
        for (const auto &[number, reservation] : openReservations)
            sum += reservation.bill ? reservation.bill->tokens : reservation.tokens;
        return sum;
    }
};

} // namespace Carawaykeel::Budget
