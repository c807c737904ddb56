#include <Carawaykeel/Metrics/LatencyHistogram.h>

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Metrics {

namespace {

constexpr unsigned Bins = 24;
constexpr double SmallestMilliseconds = 0.05;
constexpr double LargestMilliseconds = 120'000;
constexpr double MillisecondsPerSecond = 1'000;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(
        boost::histogram::make_histogram(Axis(Bins, SmallestMilliseconds, LargestMilliseconds)))
{
}

void LatencyHistogram::record(double milliseconds)
{
    const std::lock_guard lock(m_mutex);
    m_histogram(std::max(milliseconds, SmallestMilliseconds));
    m_sum += milliseconds;
}

std::string LatencyHistogram::toPrometheus(std::string_view name, std::string_view help) const
{
    return fmt::format(
        "# HELP {} {}\n# TYPE {} histogram\n{}", name, help, name, formatSamples(name, ""));
}

std::string LatencyHistogram::formatSamples(std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto more = labels.empty() ? std::string() : fmt::format("{},", labels);
    const auto own = labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
    std::string text;
    double count = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram)) {
        count += *bin;
        text += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, more,
            bin.bin().upper() / MillisecondsPerSecond, count);
    }
    const auto all = count + m_histogram.at(static_cast<int>(Bins));
    text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n{}_sum{} {}\n{}_count{} {}\n", name, more,
        all, name, own, m_sum / MillisecondsPerSecond, name, own, all);
    return text;
}

} // namespace Carawaykeel::Metrics
