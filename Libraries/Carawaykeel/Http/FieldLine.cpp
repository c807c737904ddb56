#include <Carawaykeel/Http/FieldLine.h>

#include <algorithm>

namespace Carawaykeel::Http {

namespace {

bool isTokenCharacter(char c)
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || Punctuation.find(c) != std::string_view::npos;
}

} // namespace

bool hasControlCharacter(std::string_view line)
{
    return std::ranges::any_of(line,
        [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; });
}

bool isFieldLine(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && colon > 0
        && std::ranges::all_of(line.substr(0, colon), isTokenCharacter)
        && !hasControlCharacter(line.substr(colon));
}

} // namespace Carawaykeel::Http
