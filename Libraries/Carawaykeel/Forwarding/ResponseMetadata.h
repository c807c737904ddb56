#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <optional>
#include <string>

namespace Carawaykeel::Forwarding {

/// The load that a server reports.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes on the server's machine at this moment, in percent of the usual time; at
    /// least 1, and 250 means two and a half times as long. Empty when the service does not report
    /// it. The figure changes many times a second and is stale when it arrives.
    std::optional<int> workTimePercent = {};
};

/// Metadata that a server's response carries in its header fields.
struct ResponseMetadata
{
    /// The id of the request that this responds to; empty when the server did not send it.
    std::string requestId;
    /// The server did not execute the request and never will.
    bool isNotExecuted = false;
    /// The server leaves and takes no further requests.
    bool isServerLeaving = false;
    /// How long the server wants no further requests from this instance.
    std::optional<Base::Milliseconds> retryAfter;
    /// The response carries the server's stamp. A successful response without it counts as invalid.
    bool hasServerStamp = false;
    std::optional<ReportedLoad> reportedLoad;
    /// How much longer the server is cold; empty if it is warm or does not say.
    std::optional<Base::Milliseconds> remainingColdTime;
    /// How long the server keeps an idle connection open.
    std::optional<Base::Milliseconds> idleTimeout;
};

} // namespace Carawaykeel::Forwarding
