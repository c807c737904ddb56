#include <Carawaykeel/Logging/LogRateLimiter.h>

#include <algorithm>

namespace Carawaykeel::Logging {

namespace {

/// A line, in thousandths: what a rate of one a second adds in a millisecond is one.
constexpr std::int64_t OneLine = 1'000;

} // namespace

LogRateLimiter::LogRateLimiter(const LogLimits &policy)
    : m_policy(policy)
    , m_thousandthsLeft(policy.maxLinesPerSecond * OneLine)
{
}

bool LogRateLimiter::tryAdmit(
    LogPriority weight, std::size_t bytes, std::size_t queued, Base::Milliseconds now)
{
    refill(now);
    if (weight == LogPriority::Routine && m_thousandthsLeft < OneLine) {
        ++m_sampledOut;
        return false;
    }
    if (queued + bytes > m_policy.maxQueuedBytes) {
        ++m_dropped;
        return false;
    }
    // Important lines use the budget up too, so that a storm of them silences the routine first.
    m_thousandthsLeft = std::max<std::int64_t>(m_thousandthsLeft - OneLine, 0);
    return true;
}

void LogRateLimiter::refill(Base::Milliseconds now)
{
    const auto passed = std::max(now - m_refilledAt, Base::Milliseconds());
    m_refilledAt = std::max(m_refilledAt, now);
    const auto most = m_policy.maxLinesPerSecond * OneLine;
    m_thousandthsLeft =
        std::min(m_thousandthsLeft + passed.count() * m_policy.maxLinesPerSecond, most);
}

} // namespace Carawaykeel::Logging
