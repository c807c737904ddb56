#include <Carawaykeel/Logging/LogFields.h>

#include <algorithm>

namespace Carawaykeel::Logging {

namespace {

constexpr unsigned char FirstPrintable = 0x20;

bool needsQuotes(char character)
{
    return static_cast<unsigned char>(character) <= FirstPrintable || character == '"'
        || character == '=';
}

} // namespace

LogFields &LogFields::add(std::string_view key, std::string_view text)
{
    fmt::format_to(std::back_inserter(m_text), " {}=", key);
    if (!text.empty() && std::ranges::none_of(text, needsQuotes)) {
        m_text.append(text);
        return *this;
    }
    m_text.push_back('"');
    for (const char character : text) {
        if (character == '"' || character == '\\')
            m_text.push_back('\\');
        // Control characters could end the line or move a terminal's cursor, so they become spaces.
        m_text.push_back(static_cast<unsigned char>(character) < FirstPrintable ? ' ' : character);
    }
    m_text.push_back('"');
    return *this;
}

} // namespace Carawaykeel::Logging
