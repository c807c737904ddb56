#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>

namespace Carawaykeel::Base {

/// One failure on its way up: its kind, a sentence for a person, and how long to wait before trying
/// again (zero: no advice).
struct Failure
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    Milliseconds retryAfter;
};

} // namespace Carawaykeel::Base
