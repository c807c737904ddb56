#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <cstddef>
#include <cstdint>

namespace Carawaykeel::Logging {

/// Limits on the log output of a process.
struct LogLimits
{
    /// Routine lines beyond this rate are suppressed. About ten times the request rate of an
    /// instance on the busiest day of the users' sites.
    std::int64_t maxLinesPerSecond = 300;
    /// Maximum bytes in the queue; further lines of any priority are dropped.
    std::size_t maxQueuedBytes = 512 * 1'024;
};

/// Token bucket that limits the rate of log lines and counts the suppressed ones.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(const LogLimits &limits);

    /// Returns true if a line of `bytes` may be queued behind `queued` bytes.
    bool tryAdmit(
        LogPriority priority, std::size_t bytes, std::size_t queued, Base::Milliseconds now);

    /// Number of routine lines that exceeded the rate limit.
    std::uint64_t sampledOut() const { return m_sampledOut; }
    /// Number of lines dropped because the queue was full.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void refill(Base::Milliseconds now);

    const LogLimits m_limits;
    std::int64_t m_availableThousandths;
    Base::Milliseconds m_lastRefillTime;
    std::uint64_t m_sampledOut = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Carawaykeel::Logging
