#pragma once

#include <Carawaykeel/Forwarding/LearnedSpeed.h>
#include <Carawaykeel/Forwarding/PromptCacheEstimate.h>
#include <Carawaykeel/Forwarding/ResponseMetadata.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>

#include <map>

namespace Carawaykeel::Forwarding {

/// The backlog at a server that another instance reported.
struct PeerBacklog
{
    Base::Tokens unprocessedTokens;
    Base::Milliseconds receivedAt;
};

/// A server with this instance's observations of it.
struct KnownServer
{
    ServerEntry entry;
    /// The server said in a response that it leaves.
    bool hasSaidLeaving = false;
    /// Current number of requests of this instance at the server.
    int inFlight = 0;
    /// The last report of the server and its time.
    ReportedLoad reportedLoad;
    Base::Milliseconds reportedAt;
    /// Number of requests sent since the last report.
    int sentSinceReport = 0;
    /// Unprocessed prompt tokens of this instance's requests that have no part of a response yet.
    Base::Tokens unprocessedTokens;
    /// Tokens of this instance's requests at the server, prompts and expected responses.
    Base::Tokens tokensInMemory;
    std::map<Base::InstanceName, PeerBacklog> peerBacklogs;
    PromptCacheEstimate promptCache;
    LearnedSpeed speed;
    /// Exponential moving average of the share of failed attempts, from 0 to 1.
    double failureRate = 0;
    int consecutiveFailures = 0;
    /// The server wants no requests before this time.
    Base::Milliseconds pausedUntil;
    /// The server is not selected before this time, unless all eligible servers are avoided.
    Base::Milliseconds avoidedUntil;
    Base::Milliseconds avoidanceTime;
};

} // namespace Carawaykeel::Forwarding
