#include <Carawaykeel/Logging/LogRateLimiter.h>

#include <algorithm>

namespace Carawaykeel::Logging {

namespace {

/// Thousandths per line. At a rate of one line per second the bucket gains one thousandth per
/// millisecond.
constexpr std::int64_t ThousandthsPerLine = 1'000;

} // namespace

LogRateLimiter::LogRateLimiter(const LogLimits &policy)
    : m_policy(policy)
    , m_availableThousandths(policy.maxLinesPerSecond * ThousandthsPerLine)
{
}

bool LogRateLimiter::tryAdmit(
    LogPriority weight, std::size_t bytes, std::size_t queued, Base::Milliseconds now)
{
    refill(now);
    if (weight == LogPriority::Routine && m_availableThousandths < ThousandthsPerLine) {
        ++m_sampledOut;
        return false;
    }
    if (queued + bytes > m_policy.maxQueuedBytes) {
        ++m_dropped;
        return false;
    }
    // Important lines consume the budget too, so that routine lines are suppressed first during a
    // burst of important ones.
    m_availableThousandths = std::max<std::int64_t>(m_availableThousandths - ThousandthsPerLine, 0);
    return true;
}

void LogRateLimiter::refill(Base::Milliseconds now)
{
    const auto elapsed = std::max(now - m_lastRefillTime, Base::Milliseconds());
    m_lastRefillTime = std::max(m_lastRefillTime, now);
    const auto capacity = m_policy.maxLinesPerSecond * ThousandthsPerLine;
    m_availableThousandths =
        std::min(m_availableThousandths + elapsed.count() * m_policy.maxLinesPerSecond, capacity);
}

} // namespace Carawaykeel::Logging
