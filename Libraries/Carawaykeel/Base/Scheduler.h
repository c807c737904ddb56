#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <functional>

namespace Carawaykeel::Base {

/// The clock and task queue of the decision logic. All tasks of one instance run one after another,
/// so the decision logic needs no locks. Tests implement it with virtual time.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// Returns the current time, which never goes back within one incarnation.
    virtual Milliseconds now() const = 0;

    /// Runs the task once, after at least the given delay.
    virtual void schedule(Milliseconds delay, std::function<void()> task) = 0;
};

} // namespace Carawaykeel::Base
