#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <vector>

namespace Carawaykeel::Budget {

/// Names the instances that can witness new grants now.
class WitnessSelector
{
public:
    virtual ~WitnessSelector() = default;

    /// The wanted witnesses, most wanted first: one in another data centre, one in the own. Empty
    /// when no other instance is alive.
    virtual std::vector<Base::InstanceId> selectWitnesses() = 0;

    /// All other instances that are believed alive.
    virtual std::vector<Base::InstanceId> livePeers() = 0;
};

} // namespace Carawaykeel::Budget
