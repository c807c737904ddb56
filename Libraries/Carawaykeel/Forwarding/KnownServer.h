#pragma once

#include <Carawaykeel/Forwarding/PromptCacheEstimate.h>
#include <Carawaykeel/Forwarding/ResponseMetadata.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>

#include <map>

namespace Carawaykeel::Forwarding {

/// What another instance said of its prompts at a server.
struct PeerBacklog
{
    Base::Tokens unprocessedTokens;
    Base::Milliseconds receivedAt;
};

/// A server with what this instance has seen of it.
struct KnownServer
{
    ServerEntry entry;
    /// Requests that this instance has there now.
    int inFlight = 0;
    /// What the server last said, and when.
    ReportedLoad reportedLoad;
    Base::Milliseconds reportedAt;
    /// Requests sent since it last said.
    int sentSinceReport = 0;
    /// Prompt tokens of this instance's requests there that have no part of an answer yet.
    Base::Tokens unprocessedTokens;
    std::map<Base::InstanceName, PeerBacklog> peerBacklogs;
    PromptCacheEstimate promptCache;
    /// Share of the latest attempts that failed, from 0 to 1; the newest count most.
    double failureRate = 0;
    int consecutiveFailures = 0;
    /// Not chosen before this moment, unless all others are no better.
    Base::Milliseconds avoidedUntil;
    Base::Milliseconds avoidanceTime;
};

} // namespace Carawaykeel::Forwarding
