#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// A chat completion as a caller asks for it, checked as far as routing and budgets need it.
struct ChatRequest
{
    std::string model;
    bool isStream = false;
    /// The caller wants the usage in the last event of a stream.
    bool wantsUsage = false;
    /// Answers asked for at once, each of up to the longest answer.
    std::int64_t choices = 1;
    /// No tokenizer makes more tokens of the prompt than this.
    Base::Tokens promptBound;
    /// The caller's limit on the answer; zero when none was given.
    Base::Tokens maxTokens;
    /// Hash of the prompt's leading bytes, for prefix affinity.
    std::uint64_t prefixHash = 0;
    Poco::JSON::Object::Ptr document;

    /// The worst case for a limit on each answer.
    Base::Tokens worstCase(Base::Tokens limit) const { return promptBound + limit * choices; }

    /// The limit on each answer that a reservation allows.
    Base::Tokens limitFor(Base::Tokens reserved) const
    {
        return (reserved - promptBound) / choices;
    }

    /// The body to forward, with the limit that was reserved and usage asked for.
    std::string forwardedBody(Base::Tokens limit) const;
};

/// Reads a chat completion. Fails with MalformedJson or MalformedRequest.
Base::Result<ChatRequest> tryParseChatRequest(std::string_view body);

} // namespace Carawaykeel::Adapters
