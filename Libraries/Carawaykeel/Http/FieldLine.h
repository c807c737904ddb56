#pragma once

#include <string_view>

namespace Carawaykeel::Http {

/// Returns true if `line` has a control character other than a tab.
bool hasControlCharacter(std::string_view line);

/// Returns true if `line`, without its line end, is a header or trailer field: a name that is a
/// token, a colon, and a value without control characters.
bool isFieldLine(std::string_view line);

} // namespace Carawaykeel::Http
