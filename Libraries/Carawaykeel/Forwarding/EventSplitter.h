#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Forwarding {

/// Cuts a stream of server-sent events into whole events, so that a stream that breaks off ends
/// between two of them and can go on at another server.
class EventSplitter
{
public:
    /// Longest event that is waited for; a longer one is a broken stream.
    static constexpr std::size_t MaxEventBytes = 1 << 20;

    /// Appends all whole events to out, and keeps the rest. Answers false when an event is too
    /// long.
    bool feed(std::string_view bytes, std::string &out);

    /// The id of the last whole event; empty before the first one with an id.
    std::optional<std::uint64_t> lastEventId() const { return m_lastId; }
    /// Whole events so far.
    std::uint64_t eventCount() const { return m_count; }
    /// Bytes of an event that has begun.
    std::string_view partialEvent() const { return m_rest; }
    /// Drops an event that has begun, because its stream broke.
    void discardPartialEvent() { m_rest.clear(); }

private:
    void noteEvent(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_count = 0;
};

} // namespace Carawaykeel::Forwarding
