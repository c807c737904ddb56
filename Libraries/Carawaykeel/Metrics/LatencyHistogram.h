#pragma once

#include <boost/histogram.hpp>
#include <mutex>
#include <string>
#include <string_view>

namespace Carawaykeel::Metrics {

/// Histogram of a latency in milliseconds. Thread-safe.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(double milliseconds);

    /// Returns the histogram in the Prometheus text format, in seconds, with HELP and TYPE lines.
    std::string toPrometheus(std::string_view name, std::string_view help) const;
    /// Returns only the sample lines. `labels` are such as `service="a"`; empty for none.
    std::string formatSamples(std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    double m_sumMilliseconds = 0;
};

} // namespace Carawaykeel::Metrics
