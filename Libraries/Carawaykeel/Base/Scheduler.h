#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <functional>

namespace Carawaykeel::Base {

/// Where the decisions get their time from. All tasks of one instance run one after another, so the
/// decisions need no locks. Tests put virtual time behind it.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// The present moment; it never goes back within one life of a process.
    virtual Milliseconds now() const = 0;

    /// Runs the task once, not before the delay has passed.
    virtual void schedule(Milliseconds delay, std::function<void()> task) = 0;
};

} // namespace Carawaykeel::Base
