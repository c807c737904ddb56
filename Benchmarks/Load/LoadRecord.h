#pragma once

#include <string>

namespace Carawaykeel::Load {

/// What a caller asks for.
enum class LoadKind { Report, Tag, Booking, QueueCheck };

inline constexpr std::size_t LoadKindCount = 4;

/// How a request ended for its caller.
enum class LoadEnd {
    Whole,
    /// Refused, and told that it was not run.
    Refused,
    /// Told that it may have run, or not told at all.
    Uncertain,
};

/// One request of a caller, over all its retries.
struct LoadRecord
{
    std::string team;
    std::string key;
    LoadKind kind = LoadKind::Tag;
    LoadEnd end = LoadEnd::Uncertain;
    /// Kind of the last refusal.
    std::string refusal;
    int tries = 0;
    double firstMilliseconds = 0;
    double totalMilliseconds = 0;
    /// Set when the answer was not the caller's own.
    bool isForeign = false;
};

} // namespace Carawaykeel::Load
