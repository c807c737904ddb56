#include <Carawaykeel/Logging/LogRateLimiter.h>

#include <algorithm>

namespace Carawaykeel::Logging {

namespace {

/// Thousandths per line. At a rate of one line per second the bucket gains one thousandth per
/// millisecond.
constexpr std::int64_t ThousandthsPerLine = 1'000;

} // namespace

LogRateLimiter::LogRateLimiter(const LogLimits &limits)
    : m_limits(limits)
    , m_availableThousandths(limits.maxLinesPerSecond * ThousandthsPerLine)
{
}

bool LogRateLimiter::tryAdmit(
    LogPriority priority, std::size_t bytes, std::size_t queued, Base::Milliseconds now)
{
    refill(now);
    if (priority == LogPriority::Routine && m_availableThousandths < ThousandthsPerLine) {
        ++m_sampledOut;
        return false;
    }
    if (queued + bytes > m_limits.maxQueuedBytes) {
        ++m_dropped;
        return false;
    }
    // Important lines take tokens too, so that routine lines are suppressed first during a
    // burst of important ones.
    m_availableThousandths = std::max<std::int64_t>(m_availableThousandths - ThousandthsPerLine, 0);
    return true;
}

void LogRateLimiter::refill(Base::Milliseconds now)
{
    const auto elapsed = std::max(now - m_lastRefillTime, Base::Milliseconds());
    m_lastRefillTime = std::max(m_lastRefillTime, now);
    const auto capacity = m_limits.maxLinesPerSecond * ThousandthsPerLine;
    m_availableThousandths =
        std::min(m_availableThousandths + elapsed.count() * m_limits.maxLinesPerSecond, capacity);
}

} // namespace Carawaykeel::Logging
