#pragma once

#include <Carawaykeel/Instance/Instance.h>

#include <Poco/JSON/Object.h>

namespace Carawaykeel::Adapters {

/// All state of an instance's decisions, for operators. Called on the scheduler's thread. It holds
/// no keys and no texts of callers.
Poco::JSON::Object dumpState(Instance::Instance &instance);

/// What an operator's overview needs: version, members, leave.
Poco::JSON::Object dumpHealth(Instance::Instance &instance);

} // namespace Carawaykeel::Adapters
