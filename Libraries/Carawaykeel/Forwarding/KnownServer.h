#pragma once

#include <Carawaykeel/Forwarding/AnswerTerms.h>
#include <Carawaykeel/Forwarding/PromptMemory.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>

#include <map>

namespace Carawaykeel::Forwarding {

/// What another instance said of its prompts at a server.
struct PeerBacklog
{
    Base::Tokens unread;
    Base::Milliseconds heardAt;
};

/// A server with what this instance has seen of it.
struct KnownServer
{
    ServerEntry entry;
    /// Requests that this instance has there now.
    int inFlight = 0;
    /// What the server last said, and when.
    ReportedLoad reported;
    Base::Milliseconds reportedAt;
    /// Requests sent since it last said.
    int sentSinceReport = 0;
    /// Prompt tokens of this instance's requests there that have no part of an answer yet.
    Base::Tokens unread;
    std::map<Base::InstanceName, PeerBacklog> peers;
    PromptMemory prompts;
    /// Share of the latest attempts that failed, from 0 to 1; the newest count most.
    double failureRate = 0;
    int failuresInRow = 0;
    /// Not chosen before this moment, unless all others are no better.
    Base::Milliseconds avoidedUntil;
    Base::Milliseconds avoidance;
};

} // namespace Carawaykeel::Forwarding
