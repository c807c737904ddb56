#pragma once

#include <Carawaykeel/Logging/LogRateLimiter.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Carawaykeel::Logging {

/// Writes lines to a file descriptor from a thread of its own, so that a full pipe holds up nobody
/// else. The descriptor stays the caller's.
class StreamLogSink : public LogSink
{
public:
    explicit StreamLogSink(int descriptor, const LogLimits &policy = {});
    /// Writes what is queued, unless the reader does not read.
    ~StreamLogSink() override;

    void write(LogPriority weight, std::string line) override;

    /// Waits until all is written, but no longer than this. Answers whether it was.
    bool flush(Base::Milliseconds patience);

    /// Lines that were left out since the start, for either reason.
    std::uint64_t leftOut() const;

private:
    void run();
    bool writeAll(std::string_view bytes) const;
    std::string describeLeftOut();

    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_hasWork;
    std::condition_variable m_isIdle;
    LogRateLimiter m_budget;
    std::string m_queued;
    std::uint64_t m_leftOutTold = 0;
    bool m_isWriting = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace Carawaykeel::Logging
