#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Routing {

/// Keeps this instance's part of a service's tokens a minute. It refills evenly, and what it may
/// hold at once is set so that no sixty seconds, wherever they begin, let more through than the
/// part. The supplier bills by the busiest minute.
class TokenRateLimiter
{
public:
    /// A ceiling of zero means none.
    explicit TokenRateLimiter(Base::Tokens ceilingPerMinute);

    /// Changes the ceiling; what is held shrinks with it.
    void setCeiling(Base::Tokens ceilingPerMinute);

    /// Takes the tokens if the limiter holds them and at least the reserve stays, else answers
    /// false. An amount above the largest that can be held is let through when the limiter is full,
    /// and paid off before anything else.
    bool tryTake(Base::Tokens tokens, double reserveShare, Base::Milliseconds now);

    /// Gives back what a request did not use.
    void giveBack(Base::Tokens tokens);

    /// How long until tryTake can succeed if nobody else takes.
    Base::Milliseconds waitFor(Base::Tokens tokens, double reserveShare, Base::Milliseconds now);

    bool isUnlimited() const { return m_ceiling == Base::Tokens(); }

private:
    void refill(Base::Milliseconds now);
    double needed(Base::Tokens tokens, double reserveShare) const;

    Base::Tokens m_ceiling;
    double m_largest = 0;
    double m_perMillisecond = 0;
    double m_level = 0;
    Base::Milliseconds m_refilledAt;
};

} // namespace Carawaykeel::Routing
