#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstddef>
#include <vector>

namespace Carawaykeel::Budget {

/// The instances that are to hold allotments of a team, by rendezvous hashing: all instances that
/// know the same fleet agree without talking, and a change of the fleet moves few teams. It is only
/// a hint; whoever disagrees loses time, not tokens.
std::vector<Base::InstanceId> chooseHolders(
    const Base::TeamId &team, std::vector<Base::InstanceId> instances, std::size_t count);

} // namespace Carawaykeel::Budget
