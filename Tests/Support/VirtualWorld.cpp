#include <Support/VirtualWorld.h>

#include <utility>

namespace Carawaykeel::Tests {

VirtualWorld::VirtualWorld(std::uint64_t seed)
    : m_random(seed)
{
}

void VirtualWorld::schedule(Base::Milliseconds delay, std::function<void()> task)
{
    m_tasks.add(m_now + delay, std::move(task));
}

void VirtualWorld::run(Base::Milliseconds span, const std::function<void()> &check)
{
    const auto end = m_now + span;
    while (!m_tasks.isEmpty() && m_tasks.nextDueTime() <= end) {
        m_now = m_tasks.nextDueTime();
        m_tasks.popNext()();
        if (check)
            check();
    }
    m_now = end;
}

std::int64_t VirtualWorld::draw(std::int64_t min, std::int64_t max)
{
    return std::uniform_int_distribution<std::int64_t>(min, max)(m_random);
}

bool VirtualWorld::happens(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

} // namespace Carawaykeel::Tests
