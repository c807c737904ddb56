#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Carawaykeel::Budget {

/// What the backend servers know about a dispatched reservation.
enum class AttemptStatus {
    /// All servers that could have received it were queried, and none has seen it.
    NeverSeen,
    /// A server has run it to its end.
    Finished,
    /// A server could not be queried, does not store attempts, or is still running it.
    Unknown,
};

/// The result for one reservation; `tokens` is set if the attempt finished.
struct AttemptLookupResult
{
    AttemptStatus status = AttemptStatus::Unknown;
    Base::Tokens tokens;
};

/// Queries the backend servers about a reservation whose holder is dead.
class AttemptLookup
{
public:
    virtual ~AttemptLookup() = default;

    /// Looks up one reservation of a request to `service` and calls `callback` once with the
    /// result.
    virtual void lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
        std::uint64_t reservation, std::function<void(AttemptLookupResult)> callback) = 0;
};

} // namespace Carawaykeel::Budget
