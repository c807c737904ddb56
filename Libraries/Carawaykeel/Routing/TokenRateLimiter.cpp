#include <Carawaykeel/Routing/TokenRateLimiter.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Routing {

namespace {

constexpr double MillisecondsPerMinute = 60'000;
/// The part of a minute's tokens that may be held at once; the rest is what flows in meanwhile.
constexpr double HeldShare = 0.25;

} // namespace

TokenRateLimiter::TokenRateLimiter(Base::Tokens ceilingPerMinute)
{
    setCeiling(ceilingPerMinute);
    m_level = m_largest;
}

void TokenRateLimiter::setCeiling(Base::Tokens ceilingPerMinute)
{
    m_ceiling = ceilingPerMinute;
    const auto ceiling = static_cast<double>(ceilingPerMinute.count());
    m_largest = ceiling * HeldShare;
    m_perMillisecond = ceiling * (1 - HeldShare) / MillisecondsPerMinute;
    m_level = std::min(m_level, m_largest);
}

void TokenRateLimiter::refill(Base::Milliseconds now)
{
    const auto passed = static_cast<double>((now - m_refilledAt).count());
    m_level = std::min(m_largest, m_level + passed * m_perMillisecond);
    m_refilledAt = now;
}

double TokenRateLimiter::needed(Base::Tokens tokens, double reserveShare) const
{
    return std::min(m_largest, static_cast<double>(tokens.count()) + reserveShare * m_largest);
}

bool TokenRateLimiter::tryTake(Base::Tokens tokens, double reserveShare, Base::Milliseconds now)
{
    if (isUnlimited())
        return true;
    refill(now);
    if (m_level < needed(tokens, reserveShare))
        return false;
    m_level -= static_cast<double>(tokens.count());
    return true;
}

void TokenRateLimiter::giveBack(Base::Tokens tokens)
{
    m_level = std::min(m_largest, m_level + static_cast<double>(tokens.count()));
}

Base::Milliseconds TokenRateLimiter::waitFor(
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
