#include <Carawaykeel/Ingress/RouterMetrics.h>

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Ingress {

namespace {

/// Label of requests that were rejected before their service was known.
const Base::ServiceName NoService("none");
const Base::ServiceName OtherServices("other");

double toMilliseconds(Base::Milliseconds time)
{
    return static_cast<double>(time.count());
}

std::string labelsOf(const Base::ServiceName &service)
{
    return fmt::format("service=\"{}\"", service.text());
}

} // namespace

RouterMetrics::ServiceMetrics &RouterMetrics::serviceFor(const Base::ServiceName &name)
{
    const auto &key = name.isEmpty() ? NoService : name;
    if (m_services.contains(key) || m_services.size() < MaxServices)
        return m_services[key];
    return m_services[OtherServices];
}

void RouterMetrics::record(const RequestResult &result)
{
    auto &service = serviceFor(result.service);
    ++service.outcomes[std::string(result.outcome)];
    service.retries += static_cast<std::uint64_t>(std::max(result.attempts - 1, 0));
    service.duration.record(toMilliseconds(result.duration));
    service.timeToFirstAttempt.record(toMilliseconds(result.timeToFirstAttempt));
    if (result.timeToFirstEvent > Base::Milliseconds())
        service.timeToFirstEvent.record(toMilliseconds(result.timeToFirstEvent));
}

void RouterMetrics::writeTo(Metrics::PrometheusWriter &writer) const
{
    writer.writeHeader("requests_total", "Requests of callers, by what came of them.", "counter");
    for (const auto &[name, service] : m_services) {
        for (const auto &[outcome, count] : service.outcomes) {
            writer.writeSample("requests_total",
                fmt::format("{},outcome=\"{}\"", labelsOf(name), outcome),
                static_cast<std::int64_t>(count));
        }
    }
    writer.writeHeader("repeats_total", "Attempts beyond the first of a request.", "counter");
    for (const auto &[name, service] : m_services) {
        writer.writeSample(
            "repeats_total", labelsOf(name), static_cast<std::int64_t>(service.retries));
    }
    writer.writeCounter("requests_rejected_evacuated_total",
        "Requests rejected because all servers were evacuated.", m_evacuationRejections);
    writeHistograms(writer, "request_seconds", "Arrival of a request to the end of its answer.",
        &ServiceMetrics::duration);
    writeHistograms(writer, "first_event_seconds", "Arrival of a request to its first event.",
        &ServiceMetrics::timeToFirstEvent);
    writeHistograms(writer, "held_seconds", "Arrival of a request to its first attempt.",
        &ServiceMetrics::timeToFirstAttempt);
}

void RouterMetrics::writeHistograms(Metrics::PrometheusWriter &writer, std::string_view name,
    std::string_view help, const Metrics::LatencyHistogram ServiceMetrics::*histogram) const
{
    writer.writeHeader(name, help, "histogram");
    for (const auto &[service, metrics] : m_services) {
        writer.append((metrics.*histogram)
                          .formatSamples(fmt::format("carawaykeel_{}", name), labelsOf(service)));
    }
}

} // namespace Carawaykeel::Ingress
