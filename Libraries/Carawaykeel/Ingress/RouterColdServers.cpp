// The part of Router that limits the requests to cold servers.
#include <Carawaykeel/Ingress/Router.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

void Router::startColdServerLimit()
{
    if (!m_settings.coldServers)
        return;
    m_serverPool.coldServers().setPolicy(m_settings.coldServers);
    m_coldPermits.start();
}

std::vector<Base::InstanceId> Router::permitCandidates() const
{
    std::vector<Base::InstanceId> candidates;
    // Before joining, an instance would take itself for the only one and claim all permits.
    if (!m_membership->hasJoined() || m_isShuttingDown)
        return candidates;
    for (const auto &member : m_membership->servingMembers())
        candidates.push_back(member.id);
    return candidates;
}

void Router::writeColdServerMetrics(Metrics::PrometheusWriter &writer) const
{
    const auto now = m_reactor.now();
    const auto servers = m_serverPool.servers();
    writer.writeGauge("servers_cold",
        "Backend servers that are cold, with a limit for cold servers.",
        std::ranges::count_if(servers, [this, now](const auto &server) {
            return m_serverPool.coldServers().isCold(server.entry, now);
        }));
    writer.writeGauge("cold_permits", "Permits to send requests to cold servers that are held.",
        static_cast<std::int64_t>(m_coldPermits.heldCount()));
    writer.writeCounter("requests_held_back_total",
        "Requests rejected because only cold servers without room were left.",
        m_context.heldBackRequests);
}

} // namespace Carawaykeel::Ingress
