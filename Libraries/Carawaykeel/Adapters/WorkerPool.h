#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Carawaykeel::Adapters {

/// A fixed number of threads that run blocking tasks from a bounded FIFO queue.
class WorkerPool
{
public:
    WorkerPool(std::size_t threads, std::size_t queueLimit);
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues a task, which is called with the number of its thread. Returns false if the queue is
    /// full or the pool is stopped.
    bool tryRun(std::function<void(std::size_t thread)> task);

    /// Ends the threads after their current tasks. Queued tasks do not run.
    void stop();

private:
    void run(std::size_t thread);

    const std::size_t m_queueLimit;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void(std::size_t)>> m_tasks;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace Carawaykeel::Adapters
