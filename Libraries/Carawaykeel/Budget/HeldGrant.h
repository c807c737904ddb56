#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Billing/Bill.h>
#include <Carawaykeel/Budget/GrantRow.h>
#include <Carawaykeel/Budget/Reservation.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Carawaykeel::Budget {

/// How far a reservation has come.
enum class ReservationPhase { Requested, Recorded, Settled };

/// A reservation as its holder keeps it, until the platform has its bill.
struct HeldReservation
{
    ReservationRequest request;
    Base::Tokens tokens;
    ReservationPhase phase = ReservationPhase::Requested;
    int tries = 0;
    std::function<void(Base::Outcome<Reservation>)> answer;
    Base::Milliseconds deadline;
    std::optional<Billing::Bill> bill;
    /// True once the witness or the platform has the bill.
    bool isDurable = false;
    std::vector<std::function<void(bool)>> durableCallbacks;
};

/// What may still be done with a grant.
enum class GrantState {
    /// Reservations are made.
    Open,
    /// No more reservations; what is open is settled, then the grant is closed.
    Retiring,
};

/// A grant as its holder keeps it.
struct HeldGrant
{
    Base::GrantId id;
    GrantRow row;
    std::uint64_t version = 0;
    GrantState state = GrantState::Open;
    /// Tokens of reservations that are not settled.
    Base::Tokens reserved;
    /// Tokens of bills that the platform does not have yet.
    Base::Tokens unflushed;
    /// Tokens that a write under way returns to the budget.
    Base::Tokens returning;
    /// The version that a return without an answer expected; while the row has it, it may land.
    std::optional<std::uint64_t> openReturn;
    /// Set while a write of the row is under way; there is never more than one.
    bool isWriting = false;
    Base::Milliseconds lastUsed;
    /// True when the witness was chosen in the holder's own data centre.
    bool hasLocalWitness = false;
    /// Set while the witness does not answer: no reservations, but the grant is kept, since the way
    /// to the witness may come back.
    bool isSuspended = false;
    Base::Milliseconds suspendedSince;
    std::map<std::uint64_t, HeldReservation> reservations;

    /// True while reservations may be made.
    bool isUsable() const { return state == GrantState::Open && !isSuspended; }

    /// What new reservations may take.
    Base::Tokens unreserved() const
    {
        return row.amount - row.settled - unflushed - reserved - returning;
    }
};

} // namespace Carawaykeel::Budget
