#include <Carawaykeel/Base/TimerQueue.h>

#include <utility>

namespace Carawaykeel::Base {

void TimerQueue::add(Milliseconds dueTime, std::function<void()> task)
{
    m_timers.push({dueTime, ++m_lastSequence, std::move(task)});
}

std::function<void()> TimerQueue::popNext()
{
    // std::priority_queue gives only const access to its top, which is popped after the move.
    auto task = std::move(const_cast<Timer &>(m_timers.top()).task);
    m_timers.pop();
    return task;
}

} // namespace Carawaykeel::Base
