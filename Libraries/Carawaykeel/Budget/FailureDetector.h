#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstddef>
#include <vector>

namespace Carawaykeel::Budget {

/// What is known of another life of an instance.
enum class Liveness {
    /// It answers, or has not been missed yet.
    Alive,
    /// It has been missed; it may be dead, paused or cut off.
    Failed,
    /// It is over for certain: a later life of the same name has been seen, the list of VMs says
    /// that the VM is gone and the settings let it be believed, or an operator said so.
    ConfirmedDead,
};

/// Answers whether a life of an instance goes on.
class FailureDetector
{
public:
    virtual ~FailureDetector() = default;

    virtual Liveness livenessOf(const Base::InstanceId &instance) const = 0;

    /// The lives that are missed now, and those that are over for certain.
    virtual std::vector<Base::InstanceId> failedIncarnations() const = 0;

    /// Instances that are known, this one among them.
    virtual std::size_t knownInstances() const = 0;
};

} // namespace Carawaykeel::Budget
