#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Support/VirtualWorld.h>

#include <functional>
#include <utility>

namespace Carawaykeel::Tests {

/// Scheduler that runs its tasks in the virtual time of a VirtualWorld.
class WorldScheduler : public Base::Scheduler
{
public:
    explicit WorldScheduler(VirtualWorld &world)
        : m_world(world)
    {
    }

    Base::Milliseconds now() const override { return m_world.now(); }
    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_world.schedule(delay, std::move(task));
    }

private:
    VirtualWorld &m_world;
};

} // namespace Carawaykeel::Tests
