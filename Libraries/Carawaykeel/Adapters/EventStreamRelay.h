#pragma once

#include <Carawaykeel/Base/Tokens.h>

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// How the relay of a stream ended.
enum class RelayOutcome {
    /// The engine's end marker came; it has not been passed on yet.
    Complete,
    /// The engine's stream ended before its end marker.
    Truncated,
    /// An event belongs to another answer.
    Mismatch,
    /// The engine went on past the limit.
    LimitExceeded,
    /// The caller takes no more.
    CallerDisconnected,
};

/// What a relayed stream came to.
struct RelayResult
{
    RelayOutcome outcome = RelayOutcome::Truncated;
    /// As the engine reported it.
    std::optional<Base::Tokens> usage;
    /// What the caller got, for retries; empty when it grew past the limit.
    std::string body;
};

/// Passes server-sent events of one answer on as they come, whole event by whole event, all but the
/// end marker, which waits for the bill.
class EventStreamRelay
{
public:
    /// Content events beyond the limit stop the relay: each carries at least one token.
    EventStreamRelay(std::istream &from, std::ostream &to, Base::Tokens limit, bool wantsUsage,
        std::size_t storedBodyLimit);

    RelayResult run();

private:
    enum class Step { Continue, Stop };

    bool readEvent(std::string &event);
    Step handle(const std::string &event);
    bool hasSameResponseId(std::string_view data);
    void forward(const std::string &event);

    std::istream &m_from;
    std::ostream &m_to;
    const Base::Tokens m_limit;
    const bool m_wantsUsage;
    const std::size_t m_storedBodyLimit;
    Base::Tokens m_contentEvents;
    std::string m_responseId;
    RelayResult m_result;
    bool m_isBodyStored = true;
};

/// The event that ends a whole stream.
inline constexpr std::string_view EndMarker = "data: [DONE]\n\n";

} // namespace Carawaykeel::Adapters
