#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Billing {

/// What one request cost. Its key in the table is made of team and request, so that of two bills
/// for one request only one can be inserted.
struct Bill
{
    Base::TeamId team;
    Base::RequestId request;
    Base::BudgetId budget;
    Base::GrantId grant;
    std::uint64_t reservation = 0;
    Base::Tokens tokens;
    /// True when the holder died and its witness billed the reservation.
    bool isEstimated = false;

    std::string rowKey() const { return "bill/" + team.text() + "/" + request.text(); }

    /// The key of the row that records a second run of a request, which the house bears.
    std::string unchargedRowKey() const
    {
        return "house/" + grant.text() + "/" + std::to_string(reservation);
    }

    bool isSameRun(const Bill &other) const
    {
        return grant == other.grant && reservation == other.reservation;
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(team, request, budget, grant, reservation, tokens, isEstimated);
    }
};

} // namespace Carawaykeel::Billing
