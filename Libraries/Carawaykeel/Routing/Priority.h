#pragma once

#include <cstddef>
#include <cstdint>

namespace Carawaykeel::Routing {

/// The order in which queued requests are dispatched. Lower values first.
enum class Priority : std::uint8_t { Urgent, High, Normal, Low };

inline constexpr std::size_t PriorityCount = 4;

} // namespace Carawaykeel::Routing
