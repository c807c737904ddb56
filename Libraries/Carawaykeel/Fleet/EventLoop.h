#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Base/TimerQueue.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Carawaykeel::Fleet {

/// Runs tasks one after another on a dedicated thread, with delays measured on the steady clock.
/// Any thread may schedule tasks.
class EventLoop : public Base::Scheduler
{
public:
    EventLoop();
    ~EventLoop() override;

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    Base::Milliseconds now() const override;
    void schedule(Base::Milliseconds delay, std::function<void()> task) override;

    /// Schedules the task without a delay.
    void post(std::function<void()> task) { schedule(Base::Milliseconds(), std::move(task)); }

    /// Stops the thread after the running task. Discards scheduled tasks.
    void stop();

private:
    void run();

    const std::chrono::steady_clock::time_point m_startTime;
    std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    Base::TimerQueue m_timers;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace Carawaykeel::Fleet
