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

/// The phase of a reservation at its holder.
enum class ReservationPhase { Requested, Recorded, Settled };

/// A reservation as stored by its holder until its bill is in the table.
struct HeldReservation
{
    ReservationRequest request;
    Base::Tokens tokens;
    ReservationPhase phase = ReservationPhase::Requested;
    int tries = 0;
    std::function<void(Base::Outcome<Reservation>)> callback;
    Base::Milliseconds deadline;
    std::optional<Billing::Bill> bill;
    /// True once the bill is stored at the witness or in the table.
    bool isDurable = false;
    std::vector<std::function<void(bool)>> durableCallbacks;
};

enum class GrantState {
    /// Reservations can be made.
    Open,
    /// No more reservations; the grant is closed once the open ones are settled.
    Retiring,
};

/// A grant as stored by its holder.
struct HeldGrant
{
    Base::GrantId id;
    GrantRow row;
    std::uint64_t version = 0;
    GrantState state = GrantState::Open;
    /// Tokens of reservations that are not settled.
    Base::Tokens reserved;
    /// Tokens of bills that are not in the table yet.
    Base::Tokens unflushed;
    /// Tokens that the write in progress returns to the budget.
    Base::Tokens returning;
    /// The row version that a return without a reply expects; while the row has this version, the
    /// return may still take effect.
    std::optional<std::uint64_t> pendingReturnVersion;
    /// Set while a write of the row is in progress; there is at most one.
    bool isWriting = false;
    Base::Milliseconds lastUsed;
    /// True if the witness is in the holder's data centre.
    bool hasLocalWitness = false;
    /// Set while the witness is unresponsive: no reservations are made, but the grant is kept,
    /// since the witness may become reachable again.
    bool isSuspended = false;
    Base::Milliseconds suspendedSince;
    std::map<std::uint64_t, HeldReservation> reservations;

    /// Returns true while reservations can be made.
    bool isUsable() const { return state == GrantState::Open && !isSuspended; }

    /// Returns the tokens available for new reservations.
    Base::Tokens unreserved() const
    {
        return row.amount - row.settled - unflushed - reserved - returning;
    }
};

} // namespace Carawaykeel::Budget
