#pragma once

#include <Carawaykeel/Instance/Instance.h>

#include <Poco/JSON/Object.h>

namespace Carawaykeel::Adapters {

/// Returns the complete state of an instance's decision logic, for operators. Contains no keys and
/// no prompts or responses. Called on the scheduler's thread.
Poco::JSON::Object dumpState(Instance::Instance &instance);

/// Returns an overview for operators: configuration version, members and shutdown state.
Poco::JSON::Object dumpHealth(Instance::Instance &instance);

} // namespace Carawaykeel::Adapters
