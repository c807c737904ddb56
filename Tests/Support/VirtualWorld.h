#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/TimerQueue.h>

#include <cstdint>
#include <functional>

namespace Carawaykeel::Tests {

/// Virtual time: runs tasks in the order of their due times. Also owns the seeded random number
/// generator that the fakes share.
class VirtualWorld
{
public:
    explicit VirtualWorld(std::uint64_t seed);

    Base::Milliseconds now() const { return m_now; }
    Base::RandomEngine &random() { return m_random; }
    void schedule(Base::Milliseconds delay, std::function<void()> task);

    /// Advances the time by `span`, runs all tasks that become due, and calls `check` after each.
    void run(Base::Milliseconds span, const std::function<void()> &check = {});

    /// Returns a uniformly distributed random number from `min` to `max`, both included.
    std::int64_t draw(std::int64_t min, std::int64_t max);
    /// Returns true with the given probability.
    bool happens(double probability);

private:
    Base::Milliseconds m_now;
    Base::TimerQueue m_tasks;
    Base::RandomEngine m_random;
};

} // namespace Carawaykeel::Tests
