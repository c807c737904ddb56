#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Carawaykeel::Base {

/// Tasks in the order of their due times; tasks with the same due time stay in the order in which
/// they were added. Not thread-safe.
class TimerQueue
{
public:
    void add(Milliseconds dueTime, std::function<void()> task);

    bool isEmpty() const { return m_timers.empty(); }
    /// Returns the due time of the next task. The queue must not be empty.
    Milliseconds nextDueTime() const { return m_timers.top().dueTime; }
    /// Removes and returns the next task. The queue must not be empty.
    std::function<void()> popNext();

private:
    struct Timer
    {
        Milliseconds dueTime;
        std::uint64_t sequence;
        std::function<void()> task;

        bool operator>(const Timer &other) const
        {
            return dueTime != other.dueTime ? dueTime > other.dueTime : sequence > other.sequence;
        }
    };

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastSequence = 0;
};

} // namespace Carawaykeel::Base
