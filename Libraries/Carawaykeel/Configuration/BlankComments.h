#pragma once

#include <string>
#include <string_view>

namespace Carawaykeel::Configuration {

/// The document with its comments, both // and /* */, replaced by blanks, so that places in it stay
/// where they are. Texts are left alone. The JSON library filters only the second form.
std::string blankComments(std::string_view document);

} // namespace Carawaykeel::Configuration
