#pragma once

#include <Carawaykeel/Budget/Reservation.h>
#include <Carawaykeel/Requests/RequestDescription.h>
#include <Carawaykeel/Requests/StoredResponse.h>
#include <Carawaykeel/Routing/Dispatcher.h>

#include <optional>

namespace Carawaykeel::Requests {

/// The leave to dispatch a request to a server, or the answer that its first run already gave.
struct Admission
{
    RequestDescription request;
    /// Unset for a request that costs nothing, and for a replay.
    std::optional<Budget::Reservation> reservation;
    Routing::Slot slot;
    Base::AttemptId attemptId;
    int attemptCount = 1;
    std::optional<StoredResponse> replayedResponse;
};

/// How a dispatched request ended.
struct Completion
{
    /// What the engine reported, or the reservation where it reported nothing.
    Base::Tokens tokensUsed;
    Routing::SlotResult result = Routing::SlotResult::Succeeded;
    /// The answer for retries; unset when the caller did not get a whole one.
    std::optional<StoredResponse> response;
};

} // namespace Carawaykeel::Requests
