#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <vector>

namespace Carawaykeel::Budget {

/// Selects the instances that can witness new grants.
class WitnessSelector
{
public:
    virtual ~WitnessSelector() = default;

    /// Returns the preferred witnesses in order: one in another data centre, then one in the same
    /// data centre. Empty if no other instance is alive.
    virtual std::vector<Base::InstanceId> selectWitnesses() = 0;

    /// Returns all other instances that are assumed to be alive.
    virtual std::vector<Base::InstanceId> livePeers() = 0;
};

} // namespace Carawaykeel::Budget
