#include <Carawaykeel/Adapters/MetricsPage.h>

#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <fmt/core.h>

namespace Carawaykeel::Adapters {

namespace {

void writeRefusals(Metrics::PrometheusWriter &page, const CallerMetrics &callers)
{
    page.append("# HELP carawaykeel_refusals_total Requests answered with an error, by kind.\n"
                "# TYPE carawaykeel_refusals_total counter\n");
    for (const auto &errorResponse : Base::allErrorResponses()) {
        page.append(fmt::format("carawaykeel_refusals_total{{kind=\"{}\"}} {}\n",
            errorResponse.name, callers.failures(errorResponse.kind)));
    }
}

} // namespace

std::string metricsPage(const MetricsSources &sources)
{
    Metrics::PrometheusWriter page;
    const auto &budgets = sources.instance.grantHolder().counters();
    const auto &dispatch = sources.instance.dispatcher().counters();
    page.writeCounter("requests_total", "Requests of callers.", sources.callers.requests);
    page.writeCounter(
        "replays_total", "Retries answered with the first answer.", sources.callers.replays);
    writeRefusals(page, sources.callers);
    page.writeGauge("streams_open", "Streams that are being relayed.", sources.callers.streamsOpen);
    page.writeCounter(
        "reservations_total", "Reservations recorded by a witness.", budgets.reserved);
    page.writeCounter(
        "budget_exhausted_total", "Refusals for want of tokens.", budgets.refusedExhausted);
    page.writeCounter("budget_unreachable_total", "Refusals for want of reachable tokens.",
        budgets.refusedUnavailable);
    page.writeCounter(
        "witness_lost_total", "Grants whose witness stopped to answer.", budgets.witnessLost);
    page.writeCounter("grants_taken_total", "Acquisitions from the platform.", budgets.grantsTaken);
    page.writeCounter("recalls_total", "Recalls of tokens from other instances.", budgets.recalls);
    page.writeCounter("reclaims_total", "Writes that brought back tokens of missing holders.",
        sources.instance.reclaimer().reclaimed());
    page.writeCounter("write_offs_total", "Grants closed as spent, holder and witness being dead.",
        sources.instance.reclaimer().writtenOff());
    page.writeCounter("dispatched_total", "Requests given a server.", dispatch.dispatched);
    page.writeCounter("queued_total", "Requests that had to wait.", dispatch.queued);
    page.writeCounter("shed_total", "Waiting requests that made room for others.", dispatch.shed);
    page.writeCounter("ejections_total", "Ejections of failing servers.", dispatch.ejections);
    page.writeCounter(
        "platform_reads_total", "Reads sent to the platform.", sources.platform.reads());
    page.writeCounter(
        "platform_writes_total", "Transactions sent to the platform.", sources.platform.writes());
    page.writeCounter("platform_failures_total", "Platform calls without an answer.",
        sources.platform.failures());
    page.writeCounter("gossip_bytes_total", "Bytes of datagrams sent.", sources.gossip.bytesSent());
    page.writeCounter("gossip_datagrams_total", "Datagrams sent.", sources.gossip.datagramsSent());
    page.writeCounter("malformed_total", "Malformed datagrams and frames.",
        sources.gossip.malformed() + sources.peers.malformed());
    page.writeCounter(
        "peer_messages_total", "Messages sent to other instances.", sources.peers.messagesSent());
    page.writeGauge(
        "configuration_version", "Version in force.", sources.instance.configuration().version());
    page.writeGauge(
        "members", "Instances known.", sources.instance.membership().members().size() + 1);
    page.writeGauge("in_flight", "Requests admitted and not ended.",
        sources.instance.requestCoordinator().inFlightCount());
    page.append(sources.callers.admission.toPrometheus(
        "carawaykeel_admission_seconds", "Time to the leave to dispatch."));
    page.append(sources.callers.total.toPrometheus(
        "carawaykeel_request_seconds", "Time to the end of the answer."));
    return page.take();
}

} // namespace Carawaykeel::Adapters
