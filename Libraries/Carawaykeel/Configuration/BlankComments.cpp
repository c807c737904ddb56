#include <Carawaykeel/Configuration/BlankComments.h>

#include <algorithm>

namespace Carawaykeel::Configuration {

namespace {

/// Returns the offset after the string literal that starts at n.
std::size_t endOfString(std::string_view document, std::size_t n)
{
    for (++n; n < document.size(); ++n) {
        if (document[n] == '\\') {
            ++n;
        } else if (document[n] == '"') {
            return n + 1;
        }
    }
    return document.size();
}

/// Returns the offset after the comment that starts at n, or n if there is none.
std::size_t endOfComment(std::string_view document, std::size_t n)
{
    const auto rest = document.substr(n);
    if (rest.starts_with("//"))
        return std::min(document.find('\n', n), document.size());
    if (!rest.starts_with("/*"))
        return n;
    const auto end = document.find("*/", n + 2);
    return end == std::string_view::npos ? document.size() : end + 2;
}

} // namespace

std::string blankComments(std::string_view document)
{
    std::string blanked(document);
    std::size_t n = 0;
    while (n < document.size()) {
        if (document[n] == '"') {
            n = endOfString(document, n);
            continue;
        }
        const auto end = endOfComment(document, n);
        for (auto i = n; i < end; ++i) {
            if (blanked[i] != '\n')
                blanked[i] = ' ';
        }
        n = std::max(end, n + 1);
    }
    return blanked;
}

} // namespace Carawaykeel::Configuration
