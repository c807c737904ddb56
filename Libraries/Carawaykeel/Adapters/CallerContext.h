#pragma once

#include <Carawaykeel/Adapters/BackendClient.h>
#include <Carawaykeel/Adapters/CallerMetrics.h>
#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Fleet/InstanceBridge.h>

namespace Carawaykeel::Adapters {

/// What the callers' handlers share. Borrowed references; they outlive the server.
struct CallerContext
{
    Fleet::InstanceBridge &bridge;
    BackendClient &backends;
    CallerMetrics &metrics;
    const LimitSettings &limits;
    bool isTls = false;
};

} // namespace Carawaykeel::Adapters
