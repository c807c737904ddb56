#pragma once

#include <Carawaykeel/Budget/Reservation.h>
#include <Carawaykeel/Requests/RequestDescription.h>
#include <Carawaykeel/Requests/StoredResponse.h>
#include <Carawaykeel/Routing/Dispatcher.h>

#include <optional>

namespace Carawaykeel::Requests {

/// The permission to dispatch a request to a server, or the stored response of its first run.
struct Admission
{
    RequestDescription request;
    /// Unset for a request that costs no tokens, and for a replay.
    std::optional<Budget::Reservation> reservation;
    Routing::Slot slot;
    Base::AttemptId attemptId;
    int attemptCount = 1;
    std::optional<StoredResponse> replayedResponse;
};

/// The outcome of a dispatched request.
struct Completion
{
    /// The tokens that the engine reported, or the reserved tokens if it reported none.
    Base::Tokens tokensUsed;
    Routing::SlotResult result = Routing::SlotResult::Succeeded;
    /// The response for retries; unset when the caller did not get a complete response.
    std::optional<StoredResponse> response;
};

} // namespace Carawaykeel::Requests
