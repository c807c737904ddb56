#pragma once

namespace Carawaykeel::Base {

/// Ends the process with a line on standard error when an invariant does not hold, in release
/// builds too: a process whose books are wrong must not go on spending.
void verify(bool condition, const char *what);

} // namespace Carawaykeel::Base
