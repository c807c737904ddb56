#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Forwarding {

/// One part of a prompt that requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Base::Tokens tokens;
};

/// What a request says of itself beside its method, path and body.
struct RequestMetadata
{
    std::string id;
    std::string host;
    /// The key that names the team; empty when there is none.
    std::string key;
    /// How long the caller will wait; empty when it did not say.
    std::optional<Base::Milliseconds> timeout;
    Base::Tokens promptTokens;
    /// Tokens that the answer may have at most.
    Base::Tokens maxResponseTokens;
    /// In the order of the prompt; the last part is the request's own.
    std::vector<PromptPart> promptParts;
    /// The last event that the caller has; empty when it begins anew.
    std::optional<std::uint64_t> lastEventId;
};

/// What the router adds when it passes a request on.
struct ForwardingMetadata
{
    /// How long the server may work.
    Base::Milliseconds remainingTime;
    /// The life of a server that is to answer, and no other at its address.
    std::string expectedServer;
    Base::TeamId team;
    /// 0 to 9, 0 is the most urgent; empty where the servers know no priority.
    std::optional<int> priority;
    /// The last event that the caller has of this answer.
    std::optional<std::uint64_t> lastEventId;
};

} // namespace Carawaykeel::Forwarding
