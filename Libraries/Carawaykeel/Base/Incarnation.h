#pragma once

#include <cstdint>

namespace Carawaykeel::Base {

/// Returns a number for this run of the process that is greater for each later run: the start time
/// in milliseconds, followed by random bits that distinguish two starts within one millisecond.
std::uint64_t generateIncarnation();

} // namespace Carawaykeel::Base
