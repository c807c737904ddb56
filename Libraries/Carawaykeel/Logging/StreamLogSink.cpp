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

/// Lines of this time share a call to the kernel.
constexpr std::chrono::milliseconds GatherTime{20};
/// How long a reader may be silent before the sink looks whether it is to end.
constexpr int StopPollMilliseconds = 200;
/// How long the end of the sink waits for the reader.
constexpr Base::Milliseconds LastFlush{200};

Base::Milliseconds steadyNow()
{
    return Base::Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
                                  .count());
}

} // namespace

StreamLogSink::StreamLogSink(int descriptor, const LogLimits &policy)
    : m_descriptor(descriptor)
    , m_budget(policy)
    , m_thread([this] { run(); })
{
}

StreamLogSink::~StreamLogSink()
{
    flush(LastFlush);
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_hasWork.notify_all();
    m_thread.join();
}

void StreamLogSink::write(LogPriority weight, std::string line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_budget.tryAdmit(weight, line.size(), m_queued.size(), steadyNow()))
            return;
        m_queued += line;
    }
    m_hasWork.notify_one();
}

bool StreamLogSink::flush(Base::Milliseconds patience)
{
    std::unique_lock lock(m_mutex);
    return m_isIdle.wait_for(lock, std::chrono::milliseconds(patience.count()),
        [this] { return m_queued.empty() && !m_isWriting; });
}

std::uint64_t StreamLogSink::leftOut() const
{
    const std::lock_guard lock(m_mutex);
    return m_budget.sampledOut() + m_budget.dropped();
}

void StreamLogSink::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_hasWork.wait(lock, [this] { return m_isStopping || !m_queued.empty(); });
        if (m_isStopping)
            return;
        auto bytes = std::exchange(m_queued, {});
        bytes += describeLeftOut();
        m_isWriting = true;
        lock.unlock();
        const bool isOpen = writeAll(bytes);
        if (isOpen)
            std::this_thread::sleep_for(GatherTime);
        lock.lock();
        m_isWriting = false;
        m_isIdle.notify_all();
        if (!isOpen)
            return;
    }
}

std::string StreamLogSink::describeLeftOut()
{
    const auto leftOut = m_budget.sampledOut() + m_budget.dropped();
    if (leftOut == m_leftOutTold)
        return {};
    m_leftOutTold = leftOut;
    LogFields fields;
    fields.add("sampled_out", m_budget.sampledOut()).add("dropped", m_budget.dropped());
    return fmt::format("level=warn event={}{}\n", nameOf(LogEvent::LinesLeftOut), fields.text());
}

bool StreamLogSink::writeAll(std::string_view bytes) const
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
        // A pipe that has room takes this much without blocking.
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
