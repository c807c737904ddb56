#include <Carawaykeel/Forwarding/EventSplitter.h>

#include <algorithm>
#include <charconv>

namespace Carawaykeel::Forwarding {

namespace {

constexpr std::string_view IdField = "id:";

/// Returns the position after the empty line that ends the first event; npos when there is none.
std::size_t findEventEnd(std::string_view bytes, std::size_t from)
{
    for (auto lineEnd = bytes.find('\n', from); lineEnd != std::string_view::npos;
         lineEnd = bytes.find('\n', lineEnd + 1)) {
        if (bytes.substr(lineEnd + 1).starts_with('\n'))
            return lineEnd + 2;
        if (bytes.substr(lineEnd + 1).starts_with("\r\n"))
            return lineEnd + 3;
    }
    return std::string_view::npos;
}

} // namespace

bool EventSplitter::feed(std::string_view bytes, std::string &out)
{
    // The end of an event may be split across two reads.
    constexpr std::size_t MaxTerminatorBytes = 3;
    const auto previousSize = m_partialEvent.size();
    m_partialEvent.append(bytes);
    std::size_t begin = 0;
    auto from = previousSize > MaxTerminatorBytes ? previousSize - MaxTerminatorBytes : 0;
    for (auto end = findEventEnd(m_partialEvent, from); end != std::string_view::npos;
         end = findEventEnd(m_partialEvent, end)) {
        parseEvent(std::string_view(m_partialEvent).substr(begin, end - begin));
        begin = end;
    }
    out.append(m_partialEvent, 0, begin);
    m_partialEvent.erase(0, begin);
    return m_partialEvent.size() <= MaxEventBytes;
}

void EventSplitter::parseEvent(std::string_view event)
{
    ++m_eventCount;
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const auto end = std::min(event.find('\n', lineStart), event.size());
        auto text = event.substr(lineStart, end - lineStart);
        lineStart = end + 1;
        if (!text.starts_with(IdField))
            continue;
        text.remove_prefix(IdField.size());
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        std::uint64_t id = 0;
        const auto [idEnd, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
        if (ec == std::errc() && idEnd != text.data())
            m_lastEventId = id;
    }
}

} // namespace Carawaykeel::Forwarding
