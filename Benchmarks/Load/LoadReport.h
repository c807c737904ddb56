#pragma once

#include "LoadOptions.h"
#include "LoadRecord.h"

#include <vector>

namespace Carawaykeel::Load {

/// Prints the results of the callers and checks them against the platform's ledger and the records
/// of the stand-in servers. Returns whether all invariants hold.
bool reportAndCheck(const LoadOptions &options, const std::vector<LoadRecord> &records);

} // namespace Carawaykeel::Load
