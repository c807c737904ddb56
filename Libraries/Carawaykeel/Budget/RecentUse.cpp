#include <Carawaykeel/Budget/RecentUse.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Budget {

namespace {

constexpr double MillisecondsPerSecond = 1'000;
/// A lower rate counts as none.
constexpr double MinTokensPerSecond = 1;

} // namespace

void RecentUse::seed(double tokensPerSecond)
{
    if (m_intervals > 0)
        return;
    m_tokensPerSecond = tokensPerSecond;
    m_intervals = static_cast<int>(1 / m_weight);
}

void RecentUse::record(Base::Tokens used, Base::Milliseconds interval)
{
    const auto latest = static_cast<double>(used.count()) * MillisecondsPerSecond
        / static_cast<double>(interval.count());
    if (std::abs(m_tokensPerSecond) < MinTokensPerSecond && std::abs(latest) < MinTokensPerSecond) {
        m_tokensPerSecond = 0;
        m_intervals = 0;
        return;
    }
    ++m_intervals;
    const auto weight = std::max(m_weight, 1.0 / m_intervals);
    m_tokensPerSecond += weight * (latest - m_tokensPerSecond);
}

} // namespace Carawaykeel::Budget
