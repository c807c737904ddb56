#include <Carawaykeel/Ingress/RouterMetrics.h>

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Ingress {

namespace {

/// Requests that were refused before their service was known.
const Base::ServiceName NoService("none");
const Base::ServiceName OtherServices("other");

double inMilliseconds(Base::Milliseconds time)
{
    return static_cast<double>(time.count());
}

std::string labelsOf(const Base::ServiceName &service)
{
    return fmt::format("service=\"{}\"", service.text());
}

} // namespace

RouterMetrics::Service &RouterMetrics::serviceFor(const Base::ServiceName &name)
{
    const auto &known = name.isEmpty() ? NoService : name;
    if (m_services.contains(known) || m_services.size() < MaxServices)
        return m_services[known];
    return m_services[OtherServices];
}

void RouterMetrics::record(const RequestResult &result)
{
    auto &service = serviceFor(result.service);
    ++service.outcomes[std::string(result.outcome)];
    service.repeats += static_cast<std::uint64_t>(std::max(result.attempts - 1, 0));
    service.total.record(inMilliseconds(result.duration));
    service.held.record(inMilliseconds(result.timeToFirstAttempt));
    if (result.timeToFirstEvent > Base::Milliseconds())
        service.firstEvent.record(inMilliseconds(result.timeToFirstEvent));
}

void RouterMetrics::writeTo(Metrics::PrometheusWriter &text) const
{
    text.writeHeader("requests_total", "Requests of callers, by what came of them.", "counter");
    for (const auto &[name, service] : m_services) {
        for (const auto &[outcome, count] : service.outcomes) {
            text.writeSample("requests_total",
                fmt::format("{},outcome=\"{}\"", labelsOf(name), outcome),
                static_cast<std::int64_t>(count));
        }
    }
    text.writeHeader("repeats_total", "Attempts beyond the first of a request.", "counter");
    for (const auto &[name, service] : m_services)
        text.writeSample(
            "repeats_total", labelsOf(name), static_cast<std::int64_t>(service.repeats));
    writeHistograms(
        text, "request_seconds", "Arrival of a request to the end of its answer.", &Service::total);
    writeHistograms(text, "first_event_seconds", "Arrival of a request to its first event.",
        &Service::firstEvent);
    writeHistograms(
        text, "held_seconds", "Arrival of a request to its first attempt.", &Service::held);
}

void RouterMetrics::writeHistograms(Metrics::PrometheusWriter &text, std::string_view name,
    std::string_view help, const Metrics::LatencyHistogram Service::*histogram) const
{
    text.writeHeader(name, help, "histogram");
    for (const auto &[service, counts] : m_services) {
        text.append((counts.*histogram)
                        .formatSamples(fmt::format("carawaykeel_{}", name), labelsOf(service)));
    }
}

} // namespace Carawaykeel::Ingress
