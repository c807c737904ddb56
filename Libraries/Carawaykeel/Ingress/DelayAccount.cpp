#include <Carawaykeel/Ingress/DelayAccount.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

void DelayAccount::setLinkRate(double megabitsPerSecond)
{
    constexpr double BytesPerMegabit = 125'000;
    constexpr double MillisecondsPerSecond = 1'000;
    m_bytesPerMillisecond = megabitsPerSecond * BytesPerMegabit / MillisecondsPerSecond;
}

void DelayAccount::onTick(Base::Milliseconds now)
{
    if (m_nextTick > Base::Milliseconds())
        m_lastLateness = std::max(now - m_nextTick, Base::Milliseconds());
    m_nextTick = now + TickInterval;
}

void DelayAccount::onBytesSent(std::size_t count, Base::Milliseconds now)
{
    const auto drained = static_cast<double>((now - m_queuedAt).count()) * m_bytesPerMillisecond;
    m_queuedBytes = std::max(m_queuedBytes - drained, 0.0) + static_cast<double>(count);
    m_queuedAt = now;
}

Base::Milliseconds DelayAccount::processorDelay(Base::Milliseconds now) const
{
    if (m_nextTick == Base::Milliseconds())
        return {};
    // Until the next tick has run, its delay is at least the time since it was due.
    const auto delay = std::max(m_lastLateness, now - m_nextTick);
    return delay < MinProcessorDelay ? Base::Milliseconds() : delay;
}

Base::Milliseconds DelayAccount::linkDelay(Base::Milliseconds now) const
{
    if (m_bytesPerMillisecond <= 0)
        return {};
    const auto drain =
        Base::Milliseconds(static_cast<std::int64_t>(m_queuedBytes / m_bytesPerMillisecond));
    return std::max(drain - (now - m_queuedAt), Base::Milliseconds());
}

} // namespace Carawaykeel::Ingress
