#include <Carawaykeel/Fleet/EventLoop.h>

#include <utility>

namespace Carawaykeel::Fleet {

EventLoop::EventLoop()
    : m_startTime(std::chrono::steady_clock::now())
    , m_thread([this] { run(); })
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeCondition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

Base::Milliseconds EventLoop::now() const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_startTime;
    return Base::Milliseconds(
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

void EventLoop::schedule(Base::Milliseconds delay, std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_timers.add(now() + delay, std::move(task));
    }
    m_wakeCondition.notify_one();
}

void EventLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (m_timers.isEmpty()) {
            m_wakeCondition.wait(lock);
            continue;
        }
        const auto dueTime = m_timers.nextDueTime();
        if (dueTime > now()) {
            m_wakeCondition.wait_until(
                lock, m_startTime + std::chrono::milliseconds(dueTime.count()));
            continue;
        }
        auto task = m_timers.popNext();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

} // namespace Carawaykeel::Fleet
