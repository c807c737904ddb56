#pragma once

#include <Carawaykeel/Base/StrongNumber.h>

namespace Carawaykeel::Base {

struct MillisecondsTag;

/// The only time type: a duration, or a point in time relative to an origin that only the scheduler
/// knows, in milliseconds.
using Milliseconds = StrongNumber<MillisecondsTag>;

} // namespace Carawaykeel::Base
