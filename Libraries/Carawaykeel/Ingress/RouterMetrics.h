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

/// What a request came to.
struct RequestResult
{
    Base::ServiceName service;
    std::string_view outcome;
    Base::Milliseconds duration;
    /// Zero when no event came.
    Base::Milliseconds timeToFirstEvent;
    Base::Milliseconds timeToFirstAttempt;
    int attempts = 0;
};

/// Counts the requests of this instance since its start. Used on the reactor's thread.
class RouterMetrics
{
public:
    /// Services beyond this many are counted together, so that the page stays short.
    static constexpr std::size_t MaxServices = 32;

    void record(const RequestResult &result);
    void writeTo(Metrics::PrometheusWriter &text) const;

private:
    struct Service
    {
        /// Outcomes are few: the names of the error table and a handful of others.
        std::map<std::string, std::uint64_t, std::less<>> outcomes;
        std::uint64_t repeats = 0;
        Metrics::LatencyHistogram total;
        Metrics::LatencyHistogram firstEvent;
        Metrics::LatencyHistogram held;
    };

    Service &serviceFor(const Base::ServiceName &name);
    void writeHistograms(Metrics::PrometheusWriter &text, std::string_view name,
        std::string_view help, const Metrics::LatencyHistogram Service::*histogram) const;

    std::map<Base::ServiceName, Service> m_services;
};

} // namespace Carawaykeel::Ingress
