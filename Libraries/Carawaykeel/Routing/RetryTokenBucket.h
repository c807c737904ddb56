#pragma once

#include <algorithm>

namespace Carawaykeel::Routing {

/// Limits retries to a ratio of the requests, so that a failing server does not multiply the load.
class RetryTokenBucket
{
public:
    RetryTokenBucket(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    /// Adds the fraction of a retry that each first attempt earns.
    void recordRequest() { m_available = std::min(m_burst, m_available + m_ratio); }

    /// Takes one retry. Returns false when less than one is available.
    bool tryTake()
    {
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

private:
    double m_ratio;
    double m_burst;
    double m_available;
};

} // namespace Carawaykeel::Routing
