#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstddef>
#include <vector>

namespace Carawaykeel::Budget {

/// The state of an incarnation as seen by this instance.
enum class Liveness {
    /// It replies, or is suspect and has not failed yet.
    Alive,
    /// It has failed or is unknown here; it may be dead, paused or partitioned.
    Failed,
    /// Its death is confirmed: a later incarnation of the same name was seen, the list of VMs lacks
    /// its VM and the settings allow relying on that, or an operator reported it.
    ConfirmedDead,
};

/// Reports whether incarnations are alive.
class FailureDetector
{
public:
    virtual ~FailureDetector() = default;

    virtual Liveness livenessOf(const Base::InstanceId &instance) const = 0;

    /// Returns the incarnations that have failed and those that are confirmed dead.
    virtual std::vector<Base::InstanceId> failedIncarnations() const = 0;

    /// Returns the number of known instances, including this one.
    virtual std::size_t knownInstances() const = 0;
};

} // namespace Carawaykeel::Budget
