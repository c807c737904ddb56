#pragma once

#include <string>

namespace Carawaykeel::Load {

/// The kinds of requests that callers send.
enum class LoadKind { Report, Tag, Booking, QueueCheck };

inline constexpr std::size_t LoadKindCount = 4;

/// The outcome of a request as its caller sees it.
enum class LoadOutcome {
    Complete,
    /// Refused with an error that reports that the request did not run.
    Refused,
    /// Failed with an error that reports that it may have run, or without a complete response.
    Uncertain,
};

/// One request of a caller, including all its retries.
struct LoadRecord
{
    std::string team;
    std::string key;
    LoadKind kind = LoadKind::Tag;
    LoadOutcome outcome = LoadOutcome::Uncertain;
    /// Error kind of the last refusal.
    std::string refusal;
    int attempts = 0;
    double firstByteMilliseconds = 0;
    double totalMilliseconds = 0;
    /// Set when the response belongs to another request.
    bool isMismatched = false;
};

} // namespace Carawaykeel::Load
