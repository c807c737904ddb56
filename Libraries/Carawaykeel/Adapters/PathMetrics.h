#pragma once

#include <Carawaykeel/Base/ErrorTable.h>

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// A latency in milliseconds, counted by many threads.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void note(double milliseconds);

    /// The lines of a Prometheus histogram in seconds under this name.
    std::string toPrometheus(std::string_view name, std::string_view help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    double m_sum = 0;
};

/// What the callers' side has counted since its start.
class PathMetrics
{
public:
    void noteFailure(Base::ErrorKind kind) { ++m_failures.at(static_cast<std::size_t>(kind)); }
    std::uint64_t failures(Base::ErrorKind kind) const
    {
        return m_failures.at(static_cast<std::size_t>(kind));
    }

    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> replays = 0;
    /// Requests whose answers are not written to their end yet.
    std::atomic<std::uint64_t> active = 0;
    std::atomic<std::uint64_t> streamsOpen = 0;
    std::atomic<std::uint64_t> connections = 0;
    /// From the arrival of a request to the leave to dispatch it.
    LatencyHistogram admission;
    /// From the arrival of a request to the end of its answer.
    LatencyHistogram total;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Base::ErrorKind::Internal) + 1>
        m_failures{};
};

/// Measures from its making.
class Stopwatch
{
public:
    Stopwatch()
        : m_start(std::chrono::steady_clock::now())
    {
    }

    double milliseconds() const
    {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_start)
            .count();
    }

private:
    std::chrono::steady_clock::time_point m_start;
};

} // namespace Carawaykeel::Adapters
