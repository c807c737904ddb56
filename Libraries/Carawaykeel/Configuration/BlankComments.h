#pragma once

#include <string>
#include <string_view>

namespace Carawaykeel::Configuration {

/// Returns the document with // and /* */ comments replaced by spaces, so that offsets in it do not
/// change. String literals are left unchanged. The JSON library itself filters only /* */ comments.
std::string blankComments(std::string_view document);

} // namespace Carawaykeel::Configuration
