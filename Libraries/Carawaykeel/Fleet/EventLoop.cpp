#include <Carawaykeel/Fleet/EventLoop.h>

#include <utility>

namespace Carawaykeel::Fleet {

EventLoop::EventLoop()
    : m_origin(std::chrono::steady_clock::now())
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
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

Base::Milliseconds EventLoop::now() const
{
    const auto passed = std::chrono::steady_clock::now() - m_origin;
    return Base::Milliseconds(
        std::chrono::duration_cast<std::chrono::milliseconds>(passed).count());
}

void EventLoop::schedule(Base::Milliseconds delay, std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_timers.add(now() + delay, std::move(task));
    }
    m_wake.notify_one();
}

void EventLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (m_timers.isEmpty()) {
            m_wake.wait(lock);
            continue;
        }
        const auto when = m_timers.nextDueTime();
        if (when > now()) {
            m_wake.wait_until(lock, m_origin + std::chrono::milliseconds(when.count()));
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
