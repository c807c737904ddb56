#pragma once

#include "LoadOptions.h"
#include "LoadRecord.h"

#include <vector>

namespace Carawaykeel::Load {

/// Prints what the callers saw, and checks it against the platform's books and the stand-ins'
/// oracles. Answers false when a promise was broken.
bool reportAndCheck(const LoadOptions &options, const std::vector<LoadRecord> &records);

} // namespace Carawaykeel::Load
