#include <Carawaykeel/Metrics/LatencyHistogram.h>

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Metrics {

namespace {

constexpr unsigned BinCount = 24;
constexpr double MinMilliseconds = 0.05;
constexpr double MaxMilliseconds = 120'000;
constexpr double MillisecondsPerSecond = 1'000;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(
        boost::histogram::make_histogram(Axis(BinCount, MinMilliseconds, MaxMilliseconds)))
{
}

void LatencyHistogram::record(double milliseconds)
{
    const std::lock_guard lock(m_mutex);
    m_histogram(std::max(milliseconds, MinMilliseconds));
    m_sumMilliseconds += milliseconds;
}

std::string LatencyHistogram::toPrometheus(std::string_view name, std::string_view help) const
{
    return fmt::format(
        "# HELP {} {}\n# TYPE {} histogram\n{}", name, help, name, formatSamples(name, ""));
}

std::string LatencyHistogram::formatSamples(std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto leadingLabels = labels.empty() ? std::string() : fmt::format("{},", labels);
    const auto labelSet = labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
    std::string text;
    double count = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram)) {
        count += *bin;
        text += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, leadingLabels,
            bin.bin().upper() / MillisecondsPerSecond, count);
    }
    const auto totalCount = count + m_histogram.at(static_cast<int>(BinCount));
    text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n{}_sum{} {}\n{}_count{} {}\n", name,
        leadingLabels, totalCount, name, labelSet, m_sumMilliseconds / MillisecondsPerSecond, name,
        labelSet, totalCount);
    return text;
}

} // namespace Carawaykeel::Metrics
