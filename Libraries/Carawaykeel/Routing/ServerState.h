#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>

namespace Carawaykeel::Routing {

/// This instance's state of a backend server.
struct ServerState
{
    Base::ServerName name;
    /// IP number and port.
    std::string address;
    Base::DataCentre dataCentre;
    /// Maximum number of concurrent requests of this instance at the server.
    int capacity = 0;
    /// Current number of requests of this instance at the server.
    int inFlight = 0;
    /// The load that the server reported last, from 0 to 1, and the time of the report.
    double reportedLoad = 0;
    Base::Milliseconds reportedAt;
    bool isLeaving = false;
    /// The operators have declared its data centre evacuated.
    bool isEvacuated = false;
    int consecutiveFailures = 0;
    /// The server is ejected until this time.
    Base::Milliseconds ejectedUntil;
    Base::Milliseconds ejectionTime;

    /// Returns true if the server may get new requests.
    bool isEligible() const { return !isLeaving && !isEvacuated; }
    bool hasFreeSlot() const { return inFlight < capacity; }
};

} // namespace Carawaykeel::Routing
