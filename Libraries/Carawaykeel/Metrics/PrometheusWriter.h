#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaykeel::Metrics {

/// Gathers a page in the Prometheus text format, version 0.0.4.
class PrometheusWriter
{
public:
    static constexpr std::string_view ContentType = "text/plain; version=0.0.4";

    void writeCounter(std::string_view name, std::string_view help, std::uint64_t value);
    void writeGauge(std::string_view name, std::string_view help, std::int64_t value);

    /// The head of a metric whose samples follow; the type is counter, gauge or histogram.
    void writeHeader(std::string_view name, std::string_view help, std::string_view type);
    /// One sample with labels such as `outcome="served"`.
    void writeSample(std::string_view name, std::string_view labels, std::int64_t value);

    void append(std::string_view lines) { m_text += lines; }
    std::string take();

private:
    std::string m_text;
};

} // namespace Carawaykeel::Metrics
