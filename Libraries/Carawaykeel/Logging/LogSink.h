#pragma once

#include <string>

namespace Carawaykeel::Logging {

/// Whether a line may be suppressed under load.
enum class LogPriority {
    /// One of many similar lines, such as a successful request.
    Routine,
    /// A failure or a change of state.
    Important,
};

/// Destination of formatted log lines. Thread-safe; never blocks.
class LogSink
{
public:
    virtual ~LogSink() = default;

    /// `line` ends with a newline.
    virtual void write(LogPriority priority, std::string line) = 0;
};

} // namespace Carawaykeel::Logging
