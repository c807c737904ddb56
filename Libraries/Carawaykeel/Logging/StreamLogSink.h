#pragma once

#include <Carawaykeel/Logging/LogRateLimiter.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Carawaykeel::Logging {

/// Writes lines to a file descriptor from its own thread, so that a full pipe blocks no other
/// thread. Does not take ownership of the descriptor.
class StreamLogSink : public LogSink
{
public:
    explicit StreamLogSink(int descriptor, const LogLimits &limits = {});
    /// Writes the queued lines, but drops them if the reader does not accept them in a short time.
    ~StreamLogSink() override;

    void write(LogPriority priority, std::string line) override;

    /// Waits until all lines are written or the timeout expires. Returns true if all were written.
    bool flush(Base::Milliseconds timeout);

    /// Number of lines suppressed since the start, by the rate limit or by a full queue.
    std::uint64_t suppressedLines() const;

private:
    void run();
    bool tryWriteAll(std::string_view bytes) const;
    std::string formatSuppressedLines();

    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_linesQueued;
    std::condition_variable m_queueFlushed;
    LogRateLimiter m_rateLimiter;
    std::string m_queued;
    std::uint64_t m_reportedSuppressedLines = 0;
    bool m_isWriting = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace Carawaykeel::Logging
