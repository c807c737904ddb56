#include <Carawaykeel/Logging/LogBudget.h>

#include <algorithm>

namespace Carawaykeel::Logging {

namespace {

/// Thousandths per line. At a rate of one line per second the bucket gains one thousandth per
/// millisecond.
constexpr std::int64_t ThousandthsPerLine = 1'000;

} // namespace

LogBudget::LogBudget(const LogPolicy &policy)
    : m_policy(policy)
    , m_availableThousandths(policy.linesPerSecond * ThousandthsPerLine)
{
}

bool LogBudget::tryTake(
    LogWeight weight, std::size_t bytes, std::size_t queued, Base::Milliseconds now)
{
    refill(now);
    if (weight == LogWeight::Routine && m_availableThousandths < ThousandthsPerLine) {
        ++m_sampledOut;
        return false;
    }
    if (queued + bytes > m_policy.queuedBytes) {
        ++m_dropped;
        return false;
    }
    // Important lines consume the budget too, so that routine lines are suppressed first during a
    // burst of important ones.
    m_availableThousandths = std::max<std::int64_t>(m_availableThousandths - ThousandthsPerLine, 0);
    return true;
}

void LogBudget::refill(Base::Milliseconds now)
{
    const auto elapsed = std::max(now - m_lastRefillTime, Base::Milliseconds());
    m_lastRefillTime = std::max(m_lastRefillTime, now);
    const auto capacity = m_policy.linesPerSecond * ThousandthsPerLine;
    m_availableThousandths =
        std::min(m_availableThousandths + elapsed.count() * m_policy.linesPerSecond, capacity);
}

} // namespace Carawaykeel::Logging
