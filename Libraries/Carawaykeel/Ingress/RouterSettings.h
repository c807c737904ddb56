#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Budget/AllotmentPolicy.h>
#include <Carawaykeel/Forwarding/ColdServers.h>
#include <Carawaykeel/Forwarding/RetryBudget.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Logging/LogRateLimiter.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// Settings of one router process.
struct RouterSettings
{
    /// Memory of the VM that is assumed if the settings do not tell it.
    static constexpr std::int64_t DefaultMemoryMegabytes = 128;
    /// Part of the VM's memory that buffers may occupy.
    static constexpr std::int64_t DefaultBufferDivisor = 4;
    /// Part of the VM's memory that the process may occupy before it holds less for callers. The
    /// rest covers what arrives until buffers are given up, and what the system itself needs.
    static constexpr std::size_t ResidentFactor = 3;
    static constexpr std::size_t ResidentDivisor = 4;

    Base::InstanceName name;
    Base::DataCentre dataCentre;
    /// Address for callers' requests.
    std::string callerAddress;
    /// Address for the platform's readiness probes.
    std::string readinessAddress;
    /// Address for callers' entry queries.
    std::string entryAddress;
    /// Address of the metrics page; empty to disable it.
    std::string metricsAddress;
    /// Address for gossip datagrams of other instances.
    std::string gossipAddress;
    /// Address for messages of other instances.
    std::string peerAddress;
    std::string peerKey;
    /// Hosts on which other instances may run, as IP number and port. The port is ignored.
    std::vector<std::string> seeds;
    std::string tableAddress;
    Base::Milliseconds tableTimeout{700};
    /// How long callers may cache an entry response.
    Base::Milliseconds entryCacheTime{2'000};
    /// Maximum time from the start of the shutdown to the end of the process.
    Base::Milliseconds shutdownTimeout{8'000};
    std::size_t maxConnections = 3'000;
    /// Descriptors of the VM, from which the connections are bounded; 0 if they are not limited.
    std::size_t maxDescriptors = 0;
    /// A caller that takes nothing of a stream for this long, while its server waits, is closed.
    Base::Milliseconds unreadTimeout{2'000};
    /// Resident memory of the process from which on the limit of bytes held is lowered.
    std::size_t residentLimit =
        std::size_t(DefaultMemoryMegabytes) * 1'024 * 1'024 / ResidentDivisor * ResidentFactor;
    /// Maximum number of bytes held for callers, servers and other instances.
    std::size_t bufferLimit =
        std::size_t(DefaultMemoryMegabytes) * 1'024 * 1'024 / DefaultBufferDivisor;
    /// Requests per second that the VM can carry; 0 if unknown.
    std::uint32_t capacity = 0;
    /// Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    double linkMbps = 0;
    Forwarding::RetryBudgetPolicy retries;
    Forwarding::ServerSelectionPolicy serverSelection;
    /// Empty if requests to cold servers are not limited.
    std::optional<Forwarding::ColdServerPolicy> coldServers;
    Budget::AllotmentPolicy allotments;
    Logging::LogLimits log;
};

} // namespace Carawaykeel::Ingress
