#pragma once

#include <Carawaykeel/Base/Scheduler.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace Carawaykeel::Base {

/// Timers that are usually cancelled before they are due, such as the timeouts of requests. A
/// cancelled timer occupies no memory, whereas a task of the scheduler stays until it is due. Not
/// thread-safe.
class CancellableTimers
{
public:
    /// Due time and number of a timer.
    using Key = std::pair<Milliseconds, std::uint64_t>;

    /// The scheduler must outlive the timers.
    explicit CancellableTimers(Scheduler &scheduler)
        : m_scheduler(scheduler)
        , m_lifetime(std::make_shared<char>())
    {
    }

    CancellableTimers(const CancellableTimers &) = delete;
    CancellableTimers &operator=(const CancellableTimers &) = delete;

    Key add(Milliseconds delay, std::function<void()> task);

    /// Has no effect if the timer was due or cancelled.
    void cancel(const Key &key) { m_tasks.erase(key); }

private:
    void arm();
    void runDue();

    Scheduler &m_scheduler;
    const std::shared_ptr<char> m_lifetime;
    std::map<Key, std::function<void()>> m_tasks;
    std::uint64_t m_lastNumber = 0;
    /// When the scheduler calls next; nothing if it was not asked to.
    std::optional<Milliseconds> m_armedFor;
};

} // namespace Carawaykeel::Base
