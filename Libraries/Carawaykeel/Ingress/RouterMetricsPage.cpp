// The part of Router that serves the metrics page.
#include <Carawaykeel/Ingress/Router.h>

#include <Carawaykeel/Metrics/ProcessUsage.h>

#include <Poco/Exception.h>
#include <algorithm>
#include <cmath>
#include <fmt/core.h>

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
            policyOf("metrics", m_descriptors->maxProbes()), m_buffers);
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
    writeEvacuationMetrics(writer);
    writeColdServerMetrics(writer);
    writer.writeGauge("processor_delay_ms", "How long events wait for the processor.",
        m_context.delays.processorDelay(m_reactor.now()).count());
    writer.writeGauge("link_delay_ms", "How long bytes to be sent wait for the link.",
        m_context.delays.linkDelay(m_reactor.now()).count());
    writer.writeCounter("requests_late_total",
        "Requests that could not be sent on in their caller's time.",
        m_context.delays.rejectedCount());
    writeEntryMetrics(writer);
    writeServerTimeMetrics(writer);
    writeBufferMetrics(writer);
    m_allotments.writeMetrics(writer);
    writePeerMetrics(writer);
    Metrics::writeProcessUsage(writer);
    if (m_dependencies.writeTableMetrics)
        m_dependencies.writeTableMetrics(writer);
    return writer.take();
}

void Router::writeEvacuationMetrics(Metrics::PrometheusWriter &writer) const
{
    const auto &registers = m_evacuationSubscriber.registers();
    writer.writeGauge("data_centres_evacuated", "Data centres whose servers get no new requests.",
        static_cast<std::int64_t>(registers.evacuatedCount()));
    writer.writeGauge("evacuation_version",
        "Highest version of the table service at which an evacuation was set or lifted.",
        static_cast<std::int64_t>(registers.highestVersion()));
}

void Router::writeBufferMetrics(Metrics::PrometheusWriter &writer) const
{
    writer.writeGauge("buffered_bytes", "Bytes held for callers, servers and other instances.",
        static_cast<std::int64_t>(m_buffers.usedBytes()));
    writer.writeGauge("buffered_bytes_peak", "Most bytes held at once since the start.",
        static_cast<std::int64_t>(m_buffers.peakBytes()));
    writer.writeGauge("buffered_bytes_limit", "Limit of the bytes held.",
        static_cast<std::int64_t>(m_buffers.limit()));
    writer.writeGauge("buffered_bytes_limit_now",
        "Limit in force, which is lower while the process occupies much memory.",
        static_cast<std::int64_t>(m_buffers.currentLimit()));
    writer.writeCounter("responses_reclaimed_total",
        "Responses of servers that were cut because too many bytes were held.",
        m_buffers.reclaimedCount(BufferKind::Response));
    writer.writeCounter("requests_reclaimed_total",
        "Requests rejected while they were read because too many bytes were held.",
        m_buffers.reclaimedCount(BufferKind::Request));
    writer.writeCounter("unsent_responses_reclaimed_total",
        "Responses to slow callers that were cut because too many bytes were held.",
        m_buffers.reclaimedCount(BufferKind::UnsentResponse));
    m_refusals.writeTo(writer);
}

void Router::writeServerTimeMetrics(Metrics::PrometheusWriter &writer) const
{
    writer.writeCounter("expected_ms_total",
        "Expected times of the served attempts that had one, in milliseconds.",
        static_cast<std::uint64_t>(m_context.expectedTimeTotal));
    writer.writeCounter("measured_ms_total", "Measured times of the same attempts.",
        static_cast<std::uint64_t>(m_context.measuredTimeTotal.count()));
    // Servers beyond this number are left out, which limits the size of the page.
    constexpr std::size_t MaxServers = 64;
    std::size_t count = 0;
    writer.writeHeader("server_request_ms", "Learned time of a request at a server.", "gauge");
    for (const auto &server : m_serverPool.servers()) {
        const auto time = server.speed.requestTime();
        if (!time || !server.reportedLoad.workTimePercent || ++count > MaxServers)
            continue;
        writer.writeSample("server_request_ms",
            fmt::format("server=\"{}\"", server.entry.name.text()), std::lround(*time));
    }
}

void Router::writePeerMetrics(Metrics::PrometheusWriter &writer) const
{
    writer.writeGauge("peer_connections_out", "Connections that were opened to other instances.",
        static_cast<std::int64_t>(m_peerTransport.outgoingCount()));
    writer.writeGauge("peer_connections_in", "Connections that other instances opened.",
        static_cast<std::int64_t>(m_peerTransport.incomingCount()));
    writer.writeCounter(
        "peer_messages_total", "Messages sent to other instances.", m_peerTransport.messagesSent());
    writer.writeCounter("peer_messages_dropped_total",
        "Messages to other instances that were dropped.", m_peerTransport.messagesDropped());
    writer.writeCounter(
        "gossip_bytes_total", "Bytes of datagrams sent.", m_gossipTransport.bytesSent());
    writer.writeCounter(
        "gossip_datagrams_total", "Datagrams sent.", m_gossipTransport.datagramsSent());
    writer.writeCounter("malformed_total", "Malformed datagrams and frames.",
        m_gossipTransport.malformed() + m_peerTransport.malformed());
}

} // namespace Carawaykeel::Ingress
