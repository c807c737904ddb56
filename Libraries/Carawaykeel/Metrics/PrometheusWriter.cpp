#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Metrics {

void PrometheusWriter::writeCounter(
    std::string_view name, std::string_view help, std::uint64_t value)
{
    writeHeader(name, help, "counter");
    m_text += fmt::format("carawaykeel_{} {}\n", name, value);
}

void PrometheusWriter::writeGauge(std::string_view name, std::string_view help, std::int64_t value)
{
    writeHeader(name, help, "gauge");
    m_text += fmt::format("carawaykeel_{} {}\n", name, value);
}

void PrometheusWriter::writeHeader(
    std::string_view name, std::string_view help, std::string_view type)
{
    m_text +=
        fmt::format("# HELP carawaykeel_{0} {1}\n# TYPE carawaykeel_{0} {2}\n", name, help, type);
}

void PrometheusWriter::writeSample(
    std::string_view name, std::string_view labels, std::int64_t value)
{
    m_text += fmt::format("carawaykeel_{}{{{}}} {}\n", name, labels, value);
}

std::string PrometheusWriter::take()
{
    return std::exchange(m_text, {});
}

} // namespace Carawaykeel::Metrics
