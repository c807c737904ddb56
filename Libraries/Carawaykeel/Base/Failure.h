#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>

namespace Carawaykeel::Base {

/// The error of a failed operation: its kind, a human-readable message, and how long to wait before
/// a retry (zero: no recommendation).
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    Milliseconds retryAfter;
};

} // namespace Carawaykeel::Base
