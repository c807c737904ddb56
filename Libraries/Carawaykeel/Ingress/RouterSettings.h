#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Budget/AllotmentPolicy.h>
#include <Carawaykeel/Forwarding/RetryWindow.h>
#include <Carawaykeel/Forwarding/ServerFleet.h>
#include <Carawaykeel/Logging/LogBudget.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// Settings of one router process.
struct RouterSettings
{
    Base::InstanceName name;
    Base::DataCentre dataCentre;
    /// Address for callers' requests.
    std::string callersAddress;
    /// Address for the platform's readiness probes.
    std::string readyAddress;
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
    Base::Milliseconds entryKeepTime{2'000};
    /// Maximum time from the start of the shutdown to the end of the process.
    Base::Milliseconds shutDownLimit{8'000};
    std::size_t connections = 3'000;
    Forwarding::RetryPolicy retries;
    Forwarding::ChoicePolicy choice;
    Budget::AllotmentPolicy allotments;
    Logging::LogPolicy log;
};

} // namespace Carawaykeel::Ingress
