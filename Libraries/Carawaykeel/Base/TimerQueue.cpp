#include <Carawaykeel/Base/TimerQueue.h>

#include <utility>

namespace Carawaykeel::Base {

void TimerQueue::add(Milliseconds when, std::function<void()> task)
{
    m_timers.push({when, ++m_order, std::move(task)});
}

std::function<void()> TimerQueue::popNext()
{
    // The queue gives only const access to its top, which is dropped right after.
    auto task = std::move(const_cast<Timer &>(m_timers.top()).task);
    m_timers.pop();
    return task;
}

} // namespace Carawaykeel::Base
