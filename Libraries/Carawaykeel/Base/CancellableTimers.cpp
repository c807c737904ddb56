#include <Carawaykeel/Base/CancellableTimers.h>

#include <algorithm>

namespace Carawaykeel::Base {

CancellableTimers::Key CancellableTimers::add(Milliseconds delay, std::function<void()> task)
{
    const Key key(m_scheduler.now() + delay, ++m_lastNumber);
    m_tasks.emplace(key, std::move(task));
    arm();
    return key;
}

void CancellableTimers::arm()
{
    if (m_tasks.empty())
        return;
    const auto dueTime = m_tasks.begin()->first.first;
    if (m_armedFor && *m_armedFor <= dueTime)
        return;
    m_armedFor = dueTime;
    const auto delay = std::max(dueTime - m_scheduler.now(), Milliseconds());
    m_scheduler.schedule(delay, [this, dueTime, weak = std::weak_ptr(m_lifetime)] {
        // Ignored if an earlier timer was added since.
        if (weak.expired() || m_armedFor != dueTime)
            return;
        m_armedFor.reset();
        runDue();
        arm();
    });
}

void CancellableTimers::runDue()
{
    const auto now = m_scheduler.now();
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= now) {
        const auto task = std::move(m_tasks.extract(m_tasks.begin()).mapped());
        task();
    }
}

} // namespace Carawaykeel::Base
