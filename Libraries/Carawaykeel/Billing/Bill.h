#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Billing {

/// The cost of one request. The row key consists of team and request, so that at most one bill per
/// request can be inserted.
struct Bill
{
    Base::TeamId team;
    Base::RequestId request;
    Base::BudgetId budget;
    Base::GrantId grant;
    std::uint64_t reservation = 0;
    Base::Tokens tokens;
    /// True if the holder died and its witness billed the reservation.
    bool isEstimated = false;

    std::string rowKey() const { return "bill/" + team.text() + "/" + request.text(); }

    /// The key of the row that records an uncharged run: another run of the request was billed
    /// already.
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
