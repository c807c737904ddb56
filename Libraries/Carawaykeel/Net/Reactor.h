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
#include <string_view>
#include <thread>
#include <unordered_map>

namespace Carawaykeel::Net {

/// Event loop over sockets and timers. Handlers and tasks run on the thread that calls run(). Any
/// thread may schedule tasks; only the thread of the loop may watch sockets.
class Reactor : public Base::Scheduler
{
public:
    Reactor();

    Reactor(const Reactor &) = delete;
    Reactor &operator=(const Reactor &) = delete;

    Base::Milliseconds now() const override;
    void schedule(Base::Milliseconds delay, std::function<void()> task) override;

    /// Runs the task on the loop as soon as possible.
    void post(std::function<void()> task) { schedule(Base::Milliseconds(), std::move(task)); }

    /// Starts to watch a socket or changes the events it is watched for. The handler must outlive
    /// the watch.
    void watch(
        const Poco::Net::Socket &socket, SocketHandler &handler, bool wantsRead, bool wantsWrite);

    /// Stops watching a socket; its handler is not called again. Call before closing the socket.
    void unwatch(const Poco::Net::Socket &socket);

    /// Sets a function that is called with the reason when a handler or task throws an exception.
    /// The loop then goes on; without the function, run() throws. Call before run().
    void setFailureObserver(std::function<void(std::string_view reason)> observer);

    /// Runs the loop until stop() is called.
    void run();

    void stop();

private:
    struct Watch
    {
        SocketHandler *handler;
        int mode;
    };

    Base::Milliseconds timeUntilNextTimer();
    void runDueTimers();
    void pollSockets(Base::Milliseconds timeout);
    void handleEvents(const Poco::Net::SocketImpl *socket, Readiness readiness);
    void runTask(const std::function<void()> &task);
    void drainWakeUps();

    const std::chrono::steady_clock::time_point m_origin;
    std::function<void(std::string_view)> m_onFailure;
    Poco::Net::PollSet m_pollSet;
    std::unordered_map<const Poco::Net::SocketImpl *, Watch> m_watched;
    /// Connected to itself. Another thread sends a byte to interrupt the poll.
    Poco::Net::DatagramSocket m_wakeUpSocket;
    std::mutex m_mutex;
    Base::TimerQueue m_timers;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isWakeUpSent = false;
    std::atomic<std::thread::id> m_loopThread;
};

} // namespace Carawaykeel::Net
