#include <Carawaykeel/Forwarding/EventSplitter.h>

#include <algorithm>
#include <charconv>

namespace Carawaykeel::Forwarding {

namespace {

constexpr std::string_view IdField = "id:";

/// Just after the empty line that ends the first event; npos when it has not come.
std::size_t findEventEnd(std::string_view bytes, std::size_t from)
{
    for (auto at = bytes.find('\n', from); at != std::string_view::npos;
         at = bytes.find('\n', at + 1)) {
        if (bytes.substr(at + 1).starts_with('\n'))
            return at + 2;
        if (bytes.substr(at + 1).starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

bool EventSplitter::feed(std::string_view bytes, std::string &out)
{
    // The end of an event may lie across the border of two reads.
    constexpr std::size_t LongestEnd = 3;
    const auto seen = m_rest.size();
    m_rest.append(bytes);
    std::size_t begin = 0;
    auto from = seen > LongestEnd ? seen - LongestEnd : 0;
    for (auto end = findEventEnd(m_rest, from); end != std::string_view::npos;
         end = findEventEnd(m_rest, end)) {
        noteEvent(std::string_view(m_rest).substr(begin, end - begin));
        begin = end;
    }
    out.append(m_rest, 0, begin);
    m_rest.erase(0, begin);
    return m_rest.size() <= MaxEventBytes;
}

void EventSplitter::noteEvent(std::string_view event)
{
    ++m_count;
    std::size_t line = 0;
    while (line < event.size()) {
        const auto end = std::min(event.find('\n', line), event.size());
        auto text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(IdField))
            continue;
        text.remove_prefix(IdField.size());
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        std::uint64_t id = 0;
        const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
        if (ec == std::errc() && stop != text.data())
            m_lastId = id;
    }
}

} // namespace Carawaykeel::Forwarding
