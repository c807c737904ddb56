#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <optional>
#include <string>

namespace Carawaykeel::Forwarding {

/// A server's load as it told it itself.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// What a server's answer says beside its status and body.
struct ResponseMetadata
{
    /// The request whose answer this is; empty when the server did not say.
    std::string requestId;
    /// The server has not run the request and never will.
    bool isNotExecuted = false;
    /// The server vouches for this answer.
    bool hasServerStamp = false;
    std::optional<ReportedLoad> reportedLoad;
    /// How long the server keeps the connection open without a request.
    std::optional<Base::Milliseconds> idleTimeout;
};

} // namespace Carawaykeel::Forwarding
