#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Base/TimerQueue.h>
#include <Carawaykeel/Net/SocketHandler.h>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Carawaykeel::Net {

/// One thread's loop over sockets and timers. Handlers and tasks run on the thread that calls
/// run(); any thread may schedule, only that thread may watch sockets.
class Reactor : public Base::Scheduler
{
public:
    Reactor();

    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    Base::Milliseconds now() const override;
    void schedule(Base::Milliseconds delay, std::function<void()> task) override;

    /// Runs the task as soon as the loop is free.
    void post(std::function<void()> task) { schedule(Base::Milliseconds(), std::move(task)); }

    /// Begins to watch a socket, or changes what it is watched for. The handler is borrowed until
    /// the socket is forgotten.
    void watch(const Poco::Net::Socket &socket, SocketHandler &handler, bool reads, bool writes);

    /// Stops watching. Call before the socket is closed. The handler is not called again.
    void unwatch(const Poco::Net::Socket &socket);

    /// Runs until stop().
    void run();

    void stop();

private:
    struct Watched
    {
        SocketHandler *handler;
        int mode;
    };

    Base::Milliseconds untilNextTimer();
    void runDueTimers();
    void pollSockets(Base::Milliseconds timeout);
    void drainWakeUps();

    const std::chrono::steady_clock::time_point m_origin;
    Poco::Net::PollSet m_pollSet;
    std::unordered_map<const Poco::Net::SocketImpl *, Watched> m_watched;
    /// Connected to itself: a byte sent by another thread ends the wait.
    Poco::Net::DatagramSocket m_wakeUp;
    std::mutex m_mutex;
    Base::TimerQueue m_timers;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isWakeUpSent = false;
    std::atomic<std::thread::id> m_thread;
};

} // namespace Carawaykeel::Net
