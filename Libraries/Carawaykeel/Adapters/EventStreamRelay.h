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
    /// The engine sent the end marker; it has not been forwarded yet.
    Complete,
    /// The engine's stream ended without an end marker.
    Truncated,
    /// An event belongs to another response.
    Mismatch,
    /// The engine exceeded the token limit.
    LimitExceeded,
    /// Writing to the caller failed.
    CallerDisconnected,
};

/// Result of relaying a stream.
struct RelayResult
{
    RelayOutcome outcome = RelayOutcome::Truncated;
    /// Usage as reported by the engine.
    std::optional<Base::Tokens> usage;
    /// The events sent to the caller, stored for retries; empty if they exceeded the size limit.
    std::string body;
};

/// Forwards the server-sent events of one response, each once it is complete. The end marker is not
/// forwarded: it must wait until the bill is durable.
class EventStreamRelay
{
public:
    /// The relay stops at the first content event beyond `limit` + 1, because each carries at least
    /// one token.
    EventStreamRelay(std::istream &from, std::ostream &to, Base::Tokens limit, bool includeUsage,
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
    const bool m_includeUsage;
    const std::size_t m_storedBodyLimit;
    Base::Tokens m_contentEvents;
    std::string m_responseId;
    RelayResult m_result;
    bool m_isBodyStored = true;
};

/// The event that ends a complete stream.
inline constexpr std::string_view EndMarker = "data: [DONE]\n\n";

} // namespace Carawaykeel::Adapters
