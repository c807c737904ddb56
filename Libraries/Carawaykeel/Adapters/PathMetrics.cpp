#include <Carawaykeel/Adapters/PathMetrics.h>

#include <fmt/core.h>

namespace Carawaykeel::Adapters {

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

void LatencyHistogram::note(double milliseconds)
{
    const std::lock_guard lock(m_mutex);
    m_histogram(std::max(milliseconds, SmallestMilliseconds));
    m_sum += milliseconds;
}

std::string LatencyHistogram::toPrometheus(std::string_view name, std::string_view help) const
{
    const std::lock_guard lock(m_mutex);
    auto text = fmt::format("# HELP {} {}\n# TYPE {} histogram\n", name, help, name);
    double count = 0;
    for (const auto &bin : boost::histogram::indexed(m_histogram)) {
        count += *bin;
        text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n", name,
            bin.bin().upper() / MillisecondsPerSecond, count);
    }
    const auto above = m_histogram.at(static_cast<int>(Bins));
    text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", name,
        count + above, name, m_sum / MillisecondsPerSecond, name, count + above);
    return text;
}

} // namespace Carawaykeel::Adapters
