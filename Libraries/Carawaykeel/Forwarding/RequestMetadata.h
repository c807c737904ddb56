#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Forwarding {

/// One part of a prompt, which several requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Base::Tokens tokens;
};

/// Metadata that a caller's request carries in its header fields.
struct RequestMetadata
{
    std::string id;
    std::string host;
    /// The key that identifies the team; empty when there is none.
    std::string key;
    /// How long the caller waits for the response; empty when the request does not specify it.
    std::optional<Base::Milliseconds> timeout;
    Base::Tokens promptTokens;
    /// Maximum number of tokens in the response.
    Base::Tokens maxResponseTokens;
    /// The caller's estimate of the tokens in the response; empty when it has none.
    std::optional<Base::Tokens> expectedResponseTokens;
    /// In the order of the prompt; the last part belongs to this request only.
    std::vector<PromptPart> promptParts;
    /// The last event that the caller received; empty when the stream is not resumed.
    std::optional<std::uint64_t> lastEventId;
};

/// Metadata that the router adds to a request that it forwards.
struct ForwardingMetadata
{
    /// The time within which the server must complete the response.
    Base::Milliseconds remainingTime;
    /// The server incarnation that is to process the request. Another one at the same address must
    /// not process it.
    std::string expectedServer;
    Base::TeamId team;
    /// 0 to 9, 0 is the most urgent; empty when the servers do not support priorities.
    std::optional<int> priority;
    /// The last event of this response that the caller received.
    std::optional<std::uint64_t> lastEventId;
};

} // namespace Carawaykeel::Forwarding
