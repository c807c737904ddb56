#pragma once

#include <algorithm>

namespace Carawaykeel::Routing {

/// Keeps retries to a share of the requests, so that a failing server does not multiply the load.
class RetryTokenBucket
{
public:
    RetryTokenBucket(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_level(reserve)
    {
    }

    /// Each first attempt earns a part of a retry.
    void noteRequest() { m_level = std::min(m_reserve, m_level + m_share); }

    /// Takes one retry if the allowance has it.
    bool tryRetry()
    {
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_level;
};

} // namespace Carawaykeel::Routing
