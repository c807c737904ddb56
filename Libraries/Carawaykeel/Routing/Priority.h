#pragma once

#include <cstddef>
#include <cstdint>

namespace Carawaykeel::Routing {

/// Who comes first when servers are short. Lower values first.
enum class Priority : std::uint8_t { Urgent, High, Normal, Low };

inline constexpr std::size_t PriorityCount = 4;

} // namespace Carawaykeel::Routing
