// The part of Router that tells operators how it is.
#include <Carawaykeel/Ingress/Router.h>

#include <Poco/Exception.h>
#include <algorithm>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

void Router::listenForMetrics()
{
    if (m_settings.metricsAddress.empty())
        return;
    try {
        m_metricsQuestions = std::make_unique<CallerListener>(
            m_reactor, m_settings.metricsAddress, m_metricsHandler, [this] { return limits(); },
            m_settings.maxConnections);
    } catch (const Poco::Exception &ex) {
        // Callers are served without anyone to count them.
        m_log.warn(LogEvent::MetricsUnavailable,
            LogFields().add("address", m_settings.metricsAddress).add("reason", ex.displayText()));
    }
}

std::string Router::metricsPage() const
{
    Metrics::PrometheusWriter text;
    m_metrics.writeTo(text);
    text.writeGauge(
        "requests_active", "Requests without their whole answer.", m_context.activeExchanges);
    text.writeGauge("caller_connections", "Open connections of callers.",
        static_cast<std::int64_t>(m_callers.connectionCount()));
    text.writeGauge("configuration_version", "Version of the configuration in force.",
        static_cast<std::int64_t>(m_configurationChanges.version()));
    const auto servers = m_servers.servers();
    text.writeGauge("servers_usable", "Backend servers that are announced and not leaving.",
        std::ranges::count_if(servers, [](const auto &server) { return !server.entry.isLeaving; }));
    text.writeGauge("servers_avoided", "Backend servers that are avoided after failures.",
        std::ranges::count_if(
            servers, [this](const auto &server) { return server.avoidedUntil > m_reactor.now(); }));
    text.writeGauge("server_list_reached", "1 while the server list's feed answers.",
        m_serverChanges.isFeedConnected() ? 1 : 0);
    Base::Tokens unread;
    for (const auto &server : servers)
        unread += server.unprocessedTokens;
    text.writeGauge(
        "prompt_tokens_unread", "Prompt tokens that servers have yet to read.", unread.count());
    text.writeGauge("instances_known", "Instances, this one counted.",
        static_cast<std::int64_t>(m_membership->knownInstances()));
    text.writeGauge("repeat_slack_instances", "Instances that the slack of repeats is divided by.",
        m_retries.instanceCount().value_or(0));
    m_allotments.writeMetrics(text);
    return text.take();
}

} // namespace Carawaykeel::Ingress
