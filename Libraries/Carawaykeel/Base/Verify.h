#pragma once

namespace Carawaykeel::Base {

/// Aborts the process with a line on standard error when an invariant does not hold, also in
/// release builds: a process with an inconsistent ledger must not spend further tokens.
void verify(bool condition, const char *invariant);

} // namespace Carawaykeel::Base
