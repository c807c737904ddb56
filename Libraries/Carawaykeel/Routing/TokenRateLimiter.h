#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Routing {

/// Token bucket that bounds this instance's share of a service's tokens per minute. Its capacity
/// and its constant refill rate together admit at most the share in any 60 seconds, because the
/// supplier bills by the busiest minute.
class TokenRateLimiter
{
public:
    /// A limit of zero means unlimited.
    explicit TokenRateLimiter(Base::Tokens tokensPerMinute);

    /// Changes the limit. Discards available tokens above the new capacity.
    void setLimit(Base::Tokens tokensPerMinute);

    /// Takes the tokens if they are available and at least the reserve remains, otherwise returns
    /// false. An amount that exceeds the capacity is admitted when the bucket is full; the level
    /// then becomes negative and has to be refilled first.
    bool tryTake(Base::Tokens tokens, double reserveShare, Base::Milliseconds now);

    /// Returns tokens that a request did not use.
    void returnTokens(Base::Tokens tokens);

    /// Returns the time until tryTake() can succeed if no other request takes tokens.
    Base::Milliseconds timeUntilAvailable(
        Base::Tokens tokens, double reserveShare, Base::Milliseconds now);

    bool isUnlimited() const { return m_limit == Base::Tokens(); }

private:
    void refill(Base::Milliseconds now);
    double requiredLevel(Base::Tokens tokens, double reserveShare) const;

    Base::Tokens m_limit;
    double m_capacity = 0;
    double m_refillPerMillisecond = 0;
    double m_available = 0;
    Base::Milliseconds m_refilledAt;
};

} // namespace Carawaykeel::Routing
