#pragma once

namespace Carawaykeel::Base {

/// What is known of a failed request's work at a backend server. No is said only where no byte of
/// the request can have reached one.
enum class ExecutionStatus { NotExecuted, Unknown, Executed };

} // namespace Carawaykeel::Base
