#pragma once

#include <Carawaykeel/Base/StrongNumber.h>

namespace Carawaykeel::Base {

struct MillisecondsTag;

/// The project's one clock type: a span of time, or a moment counted from an origin that only the
/// scheduler knows, in milliseconds.
using Milliseconds = StrongNumber<MillisecondsTag>;

} // namespace Carawaykeel::Base
