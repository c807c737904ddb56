#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <cstddef>
#include <cstdint>

namespace Carawaykeel::Logging {

/// How much a process logs at most.
struct LogLimits
{
    /// Lines a second before routine ones are left out: some ten times the requests of an instance
    /// on the heaviest day of the users' sites.
    std::int64_t maxLinesPerSecond = 300;
    /// Bytes that wait to be written, at most; further lines of any weight are dropped.
    std::size_t maxQueuedBytes = 512 * 1'024;
};

/// Decides which lines are left out, and counts them.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(const LogLimits &policy);

    /// True when the line may be queued behind so many bytes.
    bool tryAdmit(
        LogPriority weight, std::size_t bytes, std::size_t queued, Base::Milliseconds now);

    /// Routine lines that were over the budget.
    std::uint64_t sampledOut() const { return m_sampledOut; }
    /// Lines that found the queue full.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void refill(Base::Milliseconds now);

    const LogLimits m_policy;
    std::int64_t m_thousandthsLeft;
    Base::Milliseconds m_refilledAt;
    std::uint64_t m_sampledOut = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Carawaykeel::Logging
