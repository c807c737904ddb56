#include <Carawaykeel/Routing/MinuteLimiter.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Routing {

namespace {

constexpr double MillisecondsPerMinute = 60'000;
/// The bucket's capacity as a share of the tokens per minute. The rest is the refill per minute, so
/// that a burst and one minute's refill together stay within the limit.
constexpr double HeldShare = 0.25;

} // namespace

MinuteLimiter::MinuteLimiter(Base::Tokens ceilingPerMinute)
{
    setCeiling(ceilingPerMinute);
    m_level = m_largest;
}

void MinuteLimiter::setCeiling(Base::Tokens ceilingPerMinute)
{
    m_ceiling = ceilingPerMinute;
    const auto ceiling = static_cast<double>(ceilingPerMinute.count());
    m_largest = ceiling * HeldShare;
    m_perMillisecond = ceiling * (1 - HeldShare) / MillisecondsPerMinute;
    m_level = std::min(m_level, m_largest);
}

void MinuteLimiter::refill(Base::Milliseconds now)
{
    const auto passed = static_cast<double>((now - m_refilledAt).count());
    m_level = std::min(m_largest, m_level + passed * m_perMillisecond);
    m_refilledAt = now;
}

double MinuteLimiter::needed(Base::Tokens tokens, double reserveShare) const
{
    return std::min(m_largest, static_cast<double>(tokens.count()) + reserveShare * m_largest);
}

bool MinuteLimiter::tryTake(Base::Tokens tokens, double reserveShare, Base::Milliseconds now)
{
    if (isUnlimited())
        return true;
    refill(now);
    if (m_level < needed(tokens, reserveShare))
        return false;
    m_level -= static_cast<double>(tokens.count());
    return true;
}

void MinuteLimiter::giveBack(Base::Tokens tokens)
{
    m_level = std::min(m_largest, m_level + static_cast<double>(tokens.count()));
}

Base::Milliseconds MinuteLimiter::waitFor(
    Base::Tokens tokens, double reserveShare, Base::Milliseconds now)
{
    if (isUnlimited())
        return {};
    refill(now);
    const auto missing = needed(tokens, reserveShare) - m_level;
    if (missing <= 0)
        return {};
    return Base::Milliseconds(static_cast<std::int64_t>(std::ceil(missing / m_perMillisecond)));
}

} // namespace Carawaykeel::Routing
