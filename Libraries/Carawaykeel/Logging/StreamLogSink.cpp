#include <Carawaykeel/Logging/StreamLogSink.h>

#include <Carawaykeel/Logging/LogEvent.h>
#include <Carawaykeel/Logging/LogFields.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Carawaykeel::Logging {

namespace {

/// Lines that are queued within this interval share one write.
constexpr std::chrono::milliseconds BatchInterval{20};
/// Interval at which the thread checks for shutdown while the reader does not read.
constexpr int StopPollMilliseconds = 200;
/// Time that the destructor waits for the reader.
constexpr Base::Milliseconds FinalFlushTimeout{200};

Base::Milliseconds steadyNow()
{
    return Base::Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
                                  .count());
}

} // namespace

StreamLogSink::StreamLogSink(int descriptor, const LogLimits &limits)
    : m_descriptor(descriptor)
    , m_rateLimiter(limits)
    , m_thread([this] { run(); })
{
}

StreamLogSink::~StreamLogSink()
{
    flush(FinalFlushTimeout);
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_linesQueued.notify_all();
    m_thread.join();
}

void StreamLogSink::write(LogPriority priority, std::string line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_rateLimiter.tryAdmit(priority, line.size(), m_queued.size(), steadyNow()))
            return;
        m_queued += line;
    }
    m_linesQueued.notify_one();
}

bool StreamLogSink::flush(Base::Milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_queueFlushed.wait_for(lock, std::chrono::milliseconds(timeout.count()),
        [this] { return m_queued.empty() && !m_isWriting; });
}

std::uint64_t StreamLogSink::suppressedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_rateLimiter.sampledOut() + m_rateLimiter.dropped();
}

void StreamLogSink::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_linesQueued.wait(lock, [this] { return m_isStopping || !m_queued.empty(); });
        if (m_isStopping)
            return;
        auto bytes = std::exchange(m_queued, {});
        bytes += formatSuppressedLines();
        m_isWriting = true;
        lock.unlock();
        const bool isWritten = tryWriteAll(bytes);
        if (isWritten)
            std::this_thread::sleep_for(BatchInterval);
        lock.lock();
        m_isWriting = false;
        m_queueFlushed.notify_all();
        if (!isWritten)
            return;
    }
}

std::string StreamLogSink::formatSuppressedLines()
{
    const auto suppressedLines = m_rateLimiter.sampledOut() + m_rateLimiter.dropped();
    if (suppressedLines == m_reportedSuppressedLines)
        return {};
    m_reportedSuppressedLines = suppressedLines;
    LogFields fields;
    fields.add("sampled_out", m_rateLimiter.sampledOut()).add("dropped", m_rateLimiter.dropped());
    return fmt::format("level=warn event={}{}\n", nameOf(LogEvent::LinesLeftOut), fields.text());
}

bool StreamLogSink::tryWriteAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        const int n = ::poll(&ready, 1, StopPollMilliseconds);
        if (n == 0 || (n < 0 && errno == EINTR)) {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return false;
            continue;
        }
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        const auto written =
            ::write(m_descriptor, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return false;
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace Carawaykeel::Logging
