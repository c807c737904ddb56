#pragma once

#include <algorithm>

namespace Carawaykeel::Routing {

/// Limits retries to a ratio of the requests, so that a failing server does not multiply the load.
class RetryAllowance
{
public:
    RetryAllowance(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_level(reserve)
    {
    }

    /// Adds the fraction of a retry that each first attempt earns.
    void noteRequest() { m_level = std::min(m_reserve, m_level + m_share); }

    /// Takes one retry. Returns false when less than one is available.
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
