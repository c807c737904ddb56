#include <Carawaykeel/Adapters/ChatRequest.h>

#include <Carawaykeel/Adapters/HttpResponses.h>

#include <Poco/JSON/Array.h>
#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Carawaykeel::Adapters {

namespace {

/// Every token of the text stands for at least one byte, so the text's size bounds its tokens.
/// Prompt templates add a few tokens per message; this is the allowance for them.
constexpr std::int64_t TokensPerMessage = 16;
constexpr std::int64_t MaxTokens = 10'000'000;
constexpr std::int64_t MaxChoices = 16;
/// Length of the prompt prefix that is hashed to find a server that may have it cached.
constexpr std::size_t AffinityPrefixBytes = 1'024;

Base::Result<std::int64_t> tryReadInteger(const Poco::JSON::Object &object, const std::string &key,
    std::int64_t fallback, std::int64_t maximum)
{
    const auto value = object.get(key);
    if (value.isEmpty())
        return fallback;
    if (!value.isInteger() || value.isBoolean())
        return Base::fail(Base::ErrorKind::MalformedRequest, key + " is not a whole number");
    try {
        const auto n = value.convert<Poco::Int64>();
        if (n >= 1 && n <= maximum)
            return n;
    } catch (const Poco::Exception &) {
        // Out of range of the integer type; fails below.
    }
    return Base::fail(
        Base::ErrorKind::MalformedRequest, key + " is not from 1 to " + std::to_string(maximum));
}

Base::Result<bool> tryReadFlag(const Poco::JSON::Object &object, const std::string &key)
{
    const auto value = object.get(key);
    if (value.isEmpty())
        return false;
    if (!value.isBoolean())
        return Base::fail(Base::ErrorKind::MalformedRequest, key + " is not true or false");
    return value.extract<bool>();
}

/// Returns all text that the engine may tokenize: the messages and, if present, the tools,
/// functions and response format.
std::string promptText(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    for (const auto *key : {"messages", "tools", "functions", "response_format"}) {
        if (object.has(key))
            Poco::JSON::Stringifier::stringify(object.get(key), stream);
    }
    return stream.str();
}

} // namespace

Base::Result<ChatRequest> tryParseChatRequest(std::string_view body)
{
    BOOST_LEAF_AUTO(object, tryParseObject(body));
    ChatRequest request;
    const auto model = object->get("model");
    if (!model.isString())
        return Base::fail(Base::ErrorKind::MalformedRequest, "model is not a text");
    request.model = model.extract<std::string>();
    const auto messages = object->getArray("messages");
    if (messages.isNull() || messages->size() == 0) {
        return Base::fail(
            Base::ErrorKind::MalformedRequest, "messages is not a list with at least one message");
    }
    BOOST_LEAF_AUTO(isStream, tryReadFlag(*object, "stream"));
    request.isStream = isStream;
    const auto options = object->getObject("stream_options");
    if (!options.isNull()) {
        BOOST_LEAF_AUTO(includeUsage, tryReadFlag(*options, "include_usage"));
        request.includeUsage = includeUsage;
    }
    BOOST_LEAF_AUTO(choices, tryReadInteger(*object, "n", 1, MaxChoices));
    request.choices = choices;
    BOOST_LEAF_AUTO(legacyLimit, tryReadInteger(*object, "max_tokens", 0, MaxTokens));
    BOOST_LEAF_AUTO(
        limit, tryReadInteger(*object, "max_completion_tokens", legacyLimit, MaxTokens));
    request.maxTokens = Base::Tokens(limit);
    const auto text = promptText(*object);
    const auto count = static_cast<std::int64_t>(text.size())
        + TokensPerMessage * static_cast<std::int64_t>(messages->size());
    request.promptBound = Base::Tokens(count);
    request.prefixHash = XXH3_64bits(text.data(), std::min(text.size(), AffinityPrefixBytes));
    request.document = object;
    return request;
}

std::string ChatRequest::forwardedBody(Base::Tokens limit) const
{
    Poco::JSON::Object copy(*document);
    copy.remove("max_completion_tokens");
    copy.set("max_tokens", limit.count());
    if (isStream) {
        Poco::JSON::Object::Ptr options = new Poco::JSON::Object();
        options->set("include_usage", true);
        copy.set("stream_options", options);
    }
    return toJson(copy);
}

} // namespace Carawaykeel::Adapters
