#include <Carawaykeel/Routing/TokenRateLimiter.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Routing {

namespace {

constexpr double MillisecondsPerMinute = 60'000;
/// The bucket's capacity as a share of the tokens per minute. The rest is the refill per minute, so
/// that a burst and one minute's refill together stay within the limit.
constexpr double BurstShare = 0.25;

} // namespace

TokenRateLimiter::TokenRateLimiter(Base::Tokens tokensPerMinute)
{
    setLimit(tokensPerMinute);
    m_available = m_capacity;
}

void TokenRateLimiter::setLimit(Base::Tokens tokensPerMinute)
{
    m_limit = tokensPerMinute;
    const auto limit = static_cast<double>(tokensPerMinute.count());
    m_capacity = limit * BurstShare;
    m_refillPerMillisecond = limit * (1 - BurstShare) / MillisecondsPerMinute;
    m_available = std::min(m_available, m_capacity);
}

void TokenRateLimiter::refill(Base::Milliseconds now)
{
    const auto elapsed = static_cast<double>((now - m_refilledAt).count());
    m_available = std::min(m_capacity, m_available + elapsed * m_refillPerMillisecond);
    m_refilledAt = now;
}

double TokenRateLimiter::requiredLevel(Base::Tokens tokens, double reserveShare) const
{
    return std::min(m_capacity, static_cast<double>(tokens.count()) + reserveShare * m_capacity);
}

bool TokenRateLimiter::tryTake(Base::Tokens tokens, double reserveShare, Base::Milliseconds now)
{
    if (isUnlimited())
        return true;
    refill(now);
    if (m_available < requiredLevel(tokens, reserveShare))
        return false;
    m_available -= static_cast<double>(tokens.count());
    return true;
}

void TokenRateLimiter::returnTokens(Base::Tokens tokens)
{
    m_available = std::min(m_capacity, m_available + static_cast<double>(tokens.count()));
}

Base::Milliseconds TokenRateLimiter::timeUntilAvailable(
    Base::Tokens tokens, double reserveShare, Base::Milliseconds now)
{
    if (isUnlimited())
        return {};
    refill(now);
    const auto missing = requiredLevel(tokens, reserveShare) - m_available;
    if (missing <= 0)
        return {};
    return Base::Milliseconds(
        static_cast<std::int64_t>(std::ceil(missing / m_refillPerMillisecond)));
}

} // namespace Carawaykeel::Routing
