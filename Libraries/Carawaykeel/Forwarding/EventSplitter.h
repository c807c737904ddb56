#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Forwarding {

/// Splits a stream of server-sent events into complete events, so that an interrupted stream ends
/// at an event boundary and can be resumed at another server.
class EventSplitter
{
public:
    /// Maximum size of an event; a stream with a longer one is malformed.
    static constexpr std::size_t MaxEventBytes = 1 << 20;

    /// Appends all complete events to `out` and buffers the rest. Returns false when an event is
    /// too long.
    bool feed(std::string_view bytes, std::string &out);

    /// The id of the last complete event that has one; empty before the first such event.
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }
    /// Number of complete events.
    std::uint64_t eventCount() const { return m_eventCount; }
    /// The buffered bytes of an incomplete event.
    std::string_view partialEvent() const { return m_partialEvent; }
    /// Discards an incomplete event after its stream was interrupted.
    void discardPartialEvent() { m_partialEvent.clear(); }

private:
    void parseEvent(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastEventId;
    std::uint64_t m_eventCount = 0;
};

} // namespace Carawaykeel::Forwarding
