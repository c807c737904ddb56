#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// A caller's chat completion request, validated as far as routing and budgets require.
struct ChatRequest
{
    std::string model;
    bool isStream = false;
    /// The caller requested the usage in the last event of a stream.
    bool includeUsage = false;
    /// Number of completions requested, each of up to `maxTokens`.
    std::int64_t choices = 1;
    /// Upper bound on the prompt's tokens, for any tokenizer.
    Base::Tokens promptBound;
    /// The caller's limit on each completion; zero if none was given.
    Base::Tokens maxTokens;
    /// Hash of the prompt's leading bytes, for prefix affinity.
    std::uint64_t prefixHash = 0;
    Poco::JSON::Object::Ptr document;

    /// Returns the maximum number of tokens that the request can use with a limit on each
    /// completion.
    Base::Tokens worstCase(Base::Tokens limit) const { return promptBound + limit * choices; }

    /// Returns the limit on each completion that a reservation allows.
    Base::Tokens limitFor(Base::Tokens reserved) const
    {
        return (reserved - promptBound) / choices;
    }

    /// Returns the body to forward, with the reserved limit; for streams it requests usage.
    std::string forwardedBody(Base::Tokens limit) const;
};

/// Parses a chat completion request. Fails with MalformedJson or MalformedRequest.
Base::Result<ChatRequest> tryParseChatRequest(std::string_view body);

} // namespace Carawaykeel::Adapters
