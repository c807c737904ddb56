#include <Carawaykeel/Adapters/WorkerPool.h>

#include <utility>

namespace Carawaykeel::Adapters {

WorkerPool::WorkerPool(std::size_t threads, std::size_t queueLimit)
    : m_queueLimit(queueLimit)
{
    for (std::size_t n = 0; n < threads; ++n)
        m_threads.emplace_back([this, n] { run(n); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

bool WorkerPool::tryRun(std::function<void(std::size_t)> task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping || m_tasks.size() >= m_queueLimit)
            return false;
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
    return true;
}

void WorkerPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    for (auto &thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void WorkerPool::run(std::size_t thread)
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_isStopping || !m_tasks.empty(); });
        if (m_isStopping)
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task(thread);
    }
}

} // namespace Carawaykeel::Adapters
