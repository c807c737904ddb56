#pragma once

#include <concepts>
#include <fmt/core.h>
#include <iterator>
#include <string>
#include <string_view>

namespace Carawaykeel::Logging {

/// The key=value pairs of one log line, in the order of insertion. Values with spaces, quotes,
/// equals signs or control characters are quoted, so that no value can end the line.
class LogFields
{
public:
    LogFields &add(std::string_view key, std::string_view text);
    LogFields &add(std::string_view key, const char *text)
    {
        return add(key, std::string_view(text));
    }

    template <class Number>
    requires std::integral<Number> || std::floating_point<Number> LogFields &add(
        std::string_view key, Number number)
    {
        fmt::format_to(std::back_inserter(m_text), " {}={}", key, number);
        return *this;
    }

    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace Carawaykeel::Logging
