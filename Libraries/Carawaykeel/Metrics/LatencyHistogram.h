#pragma once

#include <boost/histogram.hpp>
#include <mutex>
#include <string>
#include <string_view>

namespace Carawaykeel::Metrics {

/// A latency in milliseconds, counted by many threads.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(double milliseconds);

    /// The lines of a Prometheus histogram in seconds under this name.
    std::string toPrometheus(std::string_view name, std::string_view help) const;
    /// The same without the head, with labels such as `service="a"`; empty for none.
    std::string formatSamples(std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    double m_sum = 0;
};

} // namespace Carawaykeel::Metrics
