#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <algorithm>

namespace Carawaykeel::Budget {

/// The rate at which an instance has used a team's tokens in the last seconds: an average of
/// intervals with weights that decay exponentially. An average over few intervals weighs them
/// equally, so that a new rate is not underestimated.
class RecentUse
{
public:
    /// `weight` is that of the latest interval once many were recorded.
    explicit RecentUse(double weight)
        : m_weight(weight)
    {
    }

    /// Starts with a rate that was measured before; has no effect once something was recorded.
    void seed(double tokensPerSecond);

    /// Records the tokens that were used in the interval since the last call, negative if more was
    /// given back than used.
    void record(Base::Tokens used, Base::Milliseconds interval);

    /// Returns 0 while more is given back than used.
    double tokensPerSecond() const { return std::max(m_tokensPerSecond, 0.0); }

private:
    double m_weight;
    double m_tokensPerSecond = 0;
    /// Number of intervals since the team was idle.
    int m_intervals = 0;
};

} // namespace Carawaykeel::Budget
