#pragma once

#include <cstdint>

namespace Carawaykeel::Base {

/// A number for this life of a process, greater for each later one: the time of the start, with
/// random bits below the milliseconds for two starts within one.
std::uint64_t generateIncarnation();

} // namespace Carawaykeel::Base
