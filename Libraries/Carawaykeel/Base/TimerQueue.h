#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Carawaykeel::Base {

/// Tasks in the order of their moments, those of one moment in the order they were added. Not for
/// several threads at once.
class TimerQueue
{
public:
    void add(Milliseconds when, std::function<void()> task);

    bool isEmpty() const { return m_timers.empty(); }
    /// The moment of the next task. There has to be one.
    Milliseconds nextDueTime() const { return m_timers.top().when; }
    /// Takes the next task out. There has to be one.
    std::function<void()> popNext();

private:
    struct Timer
    {
        Milliseconds when;
        std::uint64_t order;
        std::function<void()> task;

        bool operator>(const Timer &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_order = 0;
};

} // namespace Carawaykeel::Base
