#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Metrics/LatencyHistogram.h>
#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Outcome and durations of one request.
struct RequestResult
{
    Base::ServiceName service;
    std::string_view outcome;
    Base::Milliseconds duration;
    /// Zero if there was no event.
    Base::Milliseconds timeToFirstEvent;
    Base::Milliseconds timeToFirstAttempt;
    int attempts = 0;
};

/// Counts the requests of this instance since its start. Used on the reactor's thread.
class RouterMetrics
{
public:
    /// Services beyond this number are counted together, which limits the size of the page.
    static constexpr std::size_t MaxServices = 32;

    void record(const RequestResult &result);
    /// Counts a request that was rejected because all servers were evacuated.
    void recordEvacuationRejection() { ++m_evacuationRejections; }
    void writeTo(Metrics::PrometheusWriter &writer) const;

private:
    struct ServiceMetrics
    {
        /// Number of requests by outcome. Outcomes are few: the names of the error table and a
        /// handful of others.
        std::map<std::string, std::uint64_t, std::less<>> outcomes;
        std::uint64_t retries = 0;
        Metrics::LatencyHistogram duration;
        Metrics::LatencyHistogram timeToFirstEvent;
        Metrics::LatencyHistogram timeToFirstAttempt;
    };

    ServiceMetrics &serviceFor(const Base::ServiceName &name);
    void writeHistograms(Metrics::PrometheusWriter &writer, std::string_view name,
        std::string_view help, const Metrics::LatencyHistogram ServiceMetrics::*histogram) const;

    std::map<Base::ServiceName, ServiceMetrics> m_services;
    std::uint64_t m_evacuationRejections = 0;
};

} // namespace Carawaykeel::Ingress
