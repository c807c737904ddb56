#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace Carawaykeel::Net {

namespace {

/// Maximum poll timeout, also used while no timer is pending.
constexpr Base::Milliseconds MaxPollTimeout{1'000};
constexpr int MicrosecondsPerMillisecond = 1'000;
/// Maximum tasks run per iteration, so that tasks that post further tasks do not starve sockets.
constexpr int TasksPerIteration = 256;

} // namespace

Reactor::Reactor()
    : m_origin(std::chrono::steady_clock::now())
    , m_wakeUpSocket(Poco::Net::SocketAddress("127.0.0.1", 0))
{
    m_wakeUpSocket.connect(m_wakeUpSocket.address());
    m_wakeUpSocket.setBlocking(false);
    m_pollSet.add(m_wakeUpSocket, Poco::Net::PollSet::POLL_READ);
}

Base::Milliseconds Reactor::now() const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_origin;
    return Base::Milliseconds(
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

void Reactor::schedule(Base::Milliseconds delay, std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_timers.add(now() + delay, std::move(task));
    }
    if (std::this_thread::get_id() == m_loopThread.load() || m_isWakeUpSent.exchange(true))
        return;
    try {
        const char byte = 1;
        m_wakeUpSocket.sendBytes(&byte, 1);
    } catch (const Poco::Exception &) {
        // The send buffer is full of earlier wake-ups, so the loop wakes up anyway.
        m_isWakeUpSent = false;
    }
}

void Reactor::watch(
    const Poco::Net::Socket &socket, SocketHandler &handler, bool wantsRead, bool wantsWrite)
{
    const int mode = (wantsRead ? Poco::Net::PollSet::POLL_READ : 0)
        | (wantsWrite ? Poco::Net::PollSet::POLL_WRITE : 0) | Poco::Net::PollSet::POLL_ERROR;
    const auto [it, isNew] = m_watched.try_emplace(socket.impl(), Watch{&handler, mode});
    if (isNew) {
        m_pollSet.add(socket, mode);
    } else if (it->second.mode != mode) {
        it->second.mode = mode;
        m_pollSet.update(socket, mode);
    }
}

void Reactor::unwatch(const Poco::Net::Socket &socket)
{
    if (m_watched.erase(socket.impl()) > 0)
        m_pollSet.remove(socket);
}

void Reactor::run()
{
    m_loopThread = std::this_thread::get_id();
    while (!m_isStopping) {
        pollSockets(timeUntilNextTimer());
        runDueTimers();
    }
}

void Reactor::stop()
{
    post([this] { m_isStopping = true; });
}

Base::Milliseconds Reactor::timeUntilNextTimer()
{
    const std::lock_guard lock(m_mutex);
    if (m_timers.isEmpty())
        return MaxPollTimeout;
    return std::clamp(m_timers.nextDueTime() - now(), Base::Milliseconds(), MaxPollTimeout);
}

void Reactor::runDueTimers()
{
    for (int n = 0; n < TasksPerIteration; ++n) {
        std::function<void()> task;
        {
            const std::lock_guard lock(m_mutex);
            if (m_timers.isEmpty() || m_timers.nextDueTime() > now())
                return;
            task = m_timers.popNext();
        }
        runTask(task);
    }
}

void Reactor::runTask(const std::function<void()> &task)
{
    try {
        task();
    } catch (const std::exception &ex) {
        if (!m_onFailure)
            throw;
        m_onFailure(ex.what());
    }
}

void Reactor::setFailureObserver(std::function<void(std::string_view reason)> observer)
{
    m_onFailure = std::move(observer);
}

void Reactor::pollSockets(Base::Milliseconds timeout)
{
    const auto ready = m_pollSet.poll(Poco::Timespan(timeout.count() * MicrosecondsPerMillisecond));
    for (const auto &[socket, mode] : ready) {
        if (socket.impl() == m_wakeUpSocket.impl()) {
            drainWakeUps();
            continue;
        }
        handleEvents(socket.impl(),
            {(mode & Poco::Net::PollSet::POLL_READ) != 0,
                (mode & Poco::Net::PollSet::POLL_WRITE) != 0,
                (mode & Poco::Net::PollSet::POLL_ERROR) != 0});
    }
}

void Reactor::handleEvents(const Poco::Net::SocketImpl *socket, Readiness readiness)
{
    // An earlier handler of this iteration may have unwatched the socket.
    const auto it = m_watched.find(socket);
    if (it == m_watched.end())
        return;
    auto *handler = it->second.handler;
    try {
        handler->onReady(readiness);
    } catch (const std::exception &ex) {
        if (!m_onFailure)
            throw;
        m_onFailure(ex.what());
        // A handler that is no longer watched may have been destroyed.
        const auto watched = m_watched.find(socket);
        if (watched != m_watched.end() && watched->second.handler == handler)
            handler->onFailure();
    }
}

void Reactor::drainWakeUps()
{
    std::array<char, 64> buf{};
    m_isWakeUpSent = false;
    try {
        while (m_wakeUpSocket.receiveBytes(buf.data(), static_cast<int>(buf.size())) > 0) { }
    } catch (const Poco::Exception &) {
        // All wake-ups have been read.
    }
}

} // namespace Carawaykeel::Net
