// The part of Router that serves the metrics page.
#include <Carawaykeel/Ingress/Router.h>

#include <Poco/Exception.h>
#include <algorithm>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

void Router::startMetricsListener()
{
    if (m_settings.metricsAddress.empty())
        return;
    try {
        m_metricsListener = std::make_unique<CallerListener>(
            m_reactor, m_settings.metricsAddress, m_metricsHandler, [this] { return limits(); },
            m_settings.maxConnections);
    } catch (const Poco::Exception &ex) {
        // Requests are served even if metrics are not.
        m_log.warn(LogEvent::MetricsUnavailable,
            LogFields().add("address", m_settings.metricsAddress).add("reason", ex.displayText()));
    }
}

std::string Router::metricsPage() const
{
    Metrics::PrometheusWriter writer;
    m_metrics.writeTo(writer);
    writer.writeGauge(
        "requests_active", "Requests without their whole answer.", m_context.activeExchanges);
    writer.writeGauge("caller_connections", "Open connections of callers.",
        static_cast<std::int64_t>(m_callerListener.connectionCount()));
    writer.writeGauge("configuration_version", "Version of the configuration in force.",
        static_cast<std::int64_t>(m_configurationSubscriber.version()));
    const auto servers = m_serverPool.servers();
    writer.writeGauge("servers_usable", "Backend servers that are announced and not leaving.",
        std::ranges::count_if(servers, [](const auto &server) { return !server.entry.isLeaving; }));
    writer.writeGauge("servers_avoided", "Backend servers that are avoided after failures.",
        std::ranges::count_if(
            servers, [this](const auto &server) { return server.avoidedUntil > m_reactor.now(); }));
    writer.writeGauge("server_list_reached", "1 while the server list's feed answers.",
        m_serverListSubscriber.isFeedConnected() ? 1 : 0);
    Base::Tokens unprocessedTokens;
    for (const auto &server : servers)
        unprocessedTokens += server.unprocessedTokens;
    writer.writeGauge("prompt_tokens_unread", "Prompt tokens that servers have yet to read.",
        unprocessedTokens.count());
    writer.writeGauge("instances_known", "Instances, this one counted.",
        static_cast<std::int64_t>(m_membership->knownInstances()));
    writer.writeGauge("repeat_slack_instances",
        "Instances that the slack of repeats is divided by.",
        m_retryBudget.instanceCount().value_or(0));
    m_allotments.writeMetrics(writer);
    return writer.take();
}

} // namespace Carawaykeel::Ingress
