#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstddef>
#include <vector>

namespace Carawaykeel::Budget {

/// Selects the instances that hold allotments of a team, by rendezvous hashing. Instances that know
/// the same fleet select the same holders without communication, and a change of the fleet moves
/// few teams. The selection is only a hint: disagreement costs time, not tokens.
std::vector<Base::InstanceId> selectHolders(
    const Base::TeamId &team, std::vector<Base::InstanceId> instances, std::size_t count);

} // namespace Carawaykeel::Budget
