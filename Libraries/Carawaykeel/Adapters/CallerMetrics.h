#pragma once

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Metrics/LatencyHistogram.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace Carawaykeel::Adapters {

/// What the callers' side has counted since its start.
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
    /// Requests whose answers are not written to their end yet.
    std::atomic<std::uint64_t> active = 0;
    std::atomic<std::uint64_t> streamsOpen = 0;
    std::atomic<std::uint64_t> connections = 0;
    /// From the arrival of a request to the leave to dispatch it.
    Metrics::LatencyHistogram admission;
    /// From the arrival of a request to the end of its answer.
    Metrics::LatencyHistogram total;

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
