#pragma once

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Metrics/LatencyHistogram.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Carawaykeel::Adapters {

/// Counters of the callers' requests since the process started.
class CallerMetrics
{
public:
    void recordFailure(Base::ErrorKind kind) { ++m_failures.at(static_cast<std::size_t>(kind)); }
    std::uint64_t failures(Base::ErrorKind kind) const
    {
        return m_failures.at(static_cast<std::size_t>(kind));
    }

    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> replays = 0;
    /// Requests whose responses are not completely written yet.
    std::atomic<std::uint64_t> active = 0;
    std::atomic<std::uint64_t> streamsOpen = 0;
    std::atomic<std::uint64_t> connections = 0;
    /// Time from the call of admission to its result, including the wait for a server.
    Metrics::LatencyHistogram admission;
    /// Time from the arrival of a request to the end of its response.
    Metrics::LatencyHistogram total;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Base::ErrorKind::Internal) + 1>
        m_failures{};
};

/// Measures the time since its construction.
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
