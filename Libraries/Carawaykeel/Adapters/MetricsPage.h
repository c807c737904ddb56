#pragma once

#include <Carawaykeel/Adapters/CallerMetrics.h>
#include <Carawaykeel/Adapters/PlatformClient.h>
#include <Carawaykeel/Instance/Instance.h>
#include <Carawaykeel/Transport/TcpPeerTransport.h>
#include <Carawaykeel/Transport/UdpGossipTransport.h>

#include <string>

namespace Carawaykeel::Adapters {

/// The objects that hold the counters of one process.
struct MetricsSources
{
    Instance::Instance &instance;
    const CallerMetrics &callers;
    const PlatformClient &platform;
    const Transport::TcpPeerTransport &peers;
    const Transport::UdpGossipTransport &gossip;
};

/// Returns all counters in the Prometheus text format, version 0.0.4. Called on the scheduler's
/// thread.
std::string metricsPage(const MetricsSources &sources);

} // namespace Carawaykeel::Adapters
