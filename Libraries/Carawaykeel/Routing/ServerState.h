#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <string>

namespace Carawaykeel::Routing {

/// A backend server as this instance sees it.
struct ServerState
{
    Base::ServerName name;
    /// IP number and port.
    std::string address;
    Base::DataCentre dataCentre;
    /// Requests that this instance sends it at once, at most.
    int capacity = 0;
    /// Requests that this instance has there now.
    int inFlight = 0;
    /// What the server last said of its own load, from 0 to 1, and when.
    double reportedLoad = 0;
    Base::Milliseconds reportedAt;
    bool isLeaving = false;
    int consecutiveFailures = 0;
    /// No requests before this moment.
    Base::Milliseconds ejectedUntil;
    Base::Milliseconds ejectionTime;

    bool hasFreeSlot() const { return inFlight < capacity; }
};

} // namespace Carawaykeel::Routing
