#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/TimerQueue.h>

#include <cstdint>
#include <functional>

namespace Carawaykeel::Tests {

/// Virtual time: tasks in the order of their moments, and one seeded source of randomness.
class VirtualWorld
{
public:
    explicit VirtualWorld(std::uint64_t seed);

    Base::Milliseconds now() const { return m_now; }
    Base::RandomEngine &random() { return m_random; }
    void schedule(Base::Milliseconds delay, std::function<void()> task);

    /// Runs all tasks up to this far ahead; the check runs after each.
    void run(Base::Milliseconds span, const std::function<void()> &check = {});

    /// A number from smallest to largest.
    std::int64_t draw(std::int64_t smallest, std::int64_t largest);
    bool happens(double probability);

private:
    Base::Milliseconds m_now;
    Base::TimerQueue m_tasks;
    Base::RandomEngine m_random;
};

} // namespace Carawaykeel::Tests
