// The part of Router that says what callers may do at its addresses.
#include <Carawaykeel/Ingress/Router.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

Forwarding::CallerLimits Router::limits() const
{
    return m_context.configuration ? m_context.configuration->limits() : Forwarding::CallerLimits();
}

CallerPolicy Router::callerPolicy() const
{
    return {"callers", m_settings.maxConnections, m_settings.unreadTimeout, m_descriptors.get(),
        &m_refusals};
}

CallerPolicy Router::policyOf(const std::string &address, std::size_t maxConnections) const
{
    return {address, std::min(maxConnections, m_settings.maxConnections), m_settings.unreadTimeout,
        nullptr, &m_refusals};
}

} // namespace Carawaykeel::Ingress
