#pragma once

#include <Carawaykeel/Adapters/BackendClient.h>
#include <Carawaykeel/Adapters/CallerMetrics.h>
#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Fleet/InstanceBridge.h>

namespace Carawaykeel::Adapters {

/// State shared by all handlers of callers' requests. The referenced objects must outlive the
/// server.
struct CallerContext
{
    Fleet::InstanceBridge &bridge;
    BackendClient &backends;
    CallerMetrics &metrics;
    const LimitSettings &limits;
    bool isTls = false;
};

} // namespace Carawaykeel::Adapters
