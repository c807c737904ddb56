#pragma once

namespace Carawaykeel::Base {

/// Whether a backend server executed a failed request. NotExecuted is used only where no byte of
/// the request can have reached a server.
enum class ExecutionStatus { NotExecuted, Unknown, Executed };

} // namespace Carawaykeel::Base
