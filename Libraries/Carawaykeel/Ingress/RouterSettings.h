#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Budget/AllotmentPolicy.h>
#include <Carawaykeel/Forwarding/RetryBudget.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Logging/LogRateLimiter.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// What one router process is set up with.
struct RouterSettings
{
    Base::InstanceName name;
    Base::DataCentre dataCentre;
    /// Callers send their requests here...
    std::string callerAddress;
    /// ...the platform asks here whether the instance takes requests...
    std::string readinessAddress;
    /// ...and callers ask here where to connect.
    std::string entryAddress;
    /// Metrics are served here; empty for nowhere.
    std::string metricsAddress;
    /// Datagrams of other instances.
    std::string gossipAddress;
    /// Messages of other instances.
    std::string peerAddress;
    std::string peerKey;
    /// Hosts on which other instances may be found, as IP number and any port.
    std::vector<std::string> seeds;
    std::string tableAddress;
    Base::Milliseconds tableTimeout{700};
    /// How long callers keep an answer of where to connect.
    Base::Milliseconds entryCacheTime{2'000};
    /// How long a process may go on after it was told to end.
    Base::Milliseconds shutdownTimeout{8'000};
    std::size_t maxConnections = 3'000;
    Forwarding::RetryBudgetPolicy retries;
    Forwarding::ServerSelectionPolicy serverSelection;
    Budget::AllotmentPolicy allotments;
    Logging::LogLimits log;
};

} // namespace Carawaykeel::Ingress
