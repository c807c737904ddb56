#include <Carawaykeel/Forwarding/LearnedSpeed.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Forwarding {

namespace {

/// Bounds of the reported slowdown. Servers differ by a factor of up to 2.7; a report beyond these
/// bounds must not exclude a server or draw all requests.
constexpr double MinSlowdown = 0.25;
constexpr double MaxSlowdown = 4;

/// Prompt tokens that take as long as what a server does for each request besides its prompt.
constexpr double OverheadTokens = 100;

void average(std::optional<double> &value, double sample)
{
    value = value ? *value + LearnedSpeed::ResponseWeight * (sample - *value) : sample;
}

double fade(Base::Milliseconds age, Base::Milliseconds time)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(time.count()));
}

} // namespace

void LearnedSpeed::onWorkTime(int percent, Base::Milliseconds now)
{
    if (m_averagePercent <= 0) {
        m_averagePercent = percent;
    } else {
        m_averagePercent +=
            (1 - fade(now - m_reportedAt, AverageTime)) * (percent - m_averagePercent);
    }
    m_reportedSlowdown = std::clamp(percent / m_averagePercent, MinSlowdown, MaxSlowdown);
    m_reportedAt = now;
}

void LearnedSpeed::onServed(const ServedAttempt &attempt, int slots)
{
    const auto duration = static_cast<double>(attempt.duration.count()) / m_reportedSlowdown;
    average(m_requestTime, duration / (1 + attempt.requestsAhead / std::max(slots, 1)));
    if (attempt.promptTokens <= 0)
        return;
    const auto toFirst = static_cast<double>(attempt.timeToFirstPart.count()) / m_reportedSlowdown;
    // The time in a queue would count as processing.
    if (attempt.requestsAhead + 1 <= slots)
        average(m_promptTokenTime, toFirst / (attempt.promptTokens + OverheadTokens));
    if (attempt.responseTokens <= 0)
        return;
    average(m_responseTokens, attempt.responseTokens);
    average(m_responseTokenTime, std::max(duration - toFirst, 0.0) / attempt.responseTokens);
}

double LearnedSpeed::slowdownAt(Base::Milliseconds now, double trust) const
{
    return 1 + (m_reportedSlowdown - 1) * trust * fade(now - m_reportedAt, ReportFadeTime);
}

} // namespace Carawaykeel::Forwarding
