#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Carawaykeel::Budget {

/// What the backend servers know of a dispatched reservation.
enum class AttemptStatus {
    /// Every server that could have it was asked, and none has seen it.
    NeverSeen,
    /// A server has it, and it is over.
    Finished,
    /// Some server could not be asked, does not keep attempts, or still runs it.
    Unknown,
};

/// The answer about one reservation; the tokens are set when finished.
struct AttemptLookupResult
{
    AttemptStatus status = AttemptStatus::Unknown;
    Base::Tokens tokens;
};

/// Asks the backend servers what became of a reservation whose holder is dead.
class AttemptLookup
{
public:
    virtual ~AttemptLookup() = default;

    /// The service is the one that the request was for.
    virtual void lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
        std::uint64_t reservation, std::function<void(AttemptLookupResult)> answer) = 0;
};

} // namespace Carawaykeel::Budget
