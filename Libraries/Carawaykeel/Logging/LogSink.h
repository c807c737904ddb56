#pragma once

#include <string>

namespace Carawaykeel::Logging {

/// Which lines may be left out under load.
enum class LogPriority {
    /// One of very many alike, such as a request that was served without trouble.
    Routine,
    /// A failure, or a change of what the process believes.
    Important,
};

/// Where finished lines go. Any thread may call it, and it never waits.
class LogSink
{
public:
    virtual ~LogSink() = default;

    /// The line ends with a newline.
    virtual void write(LogPriority weight, std::string line) = 0;
};

} // namespace Carawaykeel::Logging
