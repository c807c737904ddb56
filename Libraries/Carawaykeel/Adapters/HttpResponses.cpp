#include <Carawaykeel/Adapters/HttpResponses.h>

#include <Carawaykeel/Base/ErrorTable.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/SHA2Engine.h>
#include <array>
#include <sstream>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t MaxBodyDepth = 64;
constexpr std::int64_t MillisecondsPerSecond = 1'000;

} // namespace

std::string toJson(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

std::string errorBody(const Base::Failure &failure)
{
    const auto &errorResponse = Base::errorResponseFor(failure.kind);
    Poco::JSON::Object error(Poco::JSON_PRESERVE_KEY_ORDER);
    error.set("message", failure.message);
    error.set("type", std::string(errorResponse.type));
    error.set("param", Poco::Dynamic::Var());
    error.set("code", std::string(errorResponse.name));
    error.set("kind", std::string(errorResponse.name));
    error.set("ran", std::string(Base::executionStatusName(errorResponse.executionStatus)));
    error.set("retry_after_ms", failure.retryAfter.count());
    error.set("advice", std::string(errorResponse.advice));
    Poco::JSON::Object object;
    object.set("error", error);
    return toJson(object);
}

void sendErrorResponse(Poco::Net::HTTPServerResponse &response, const Base::Failure &failure)
{
    const auto &errorResponse = Base::errorResponseFor(failure.kind);
    if (failure.retryAfter > Base::Milliseconds()) {
        const auto seconds =
            (failure.retryAfter.count() + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        response.set("Retry-After", std::to_string(seconds));
        response.set("retry-after-ms", std::to_string(failure.retryAfter.count()));
    }
    // Client libraries of this API retry automatically; allow this only if the request cannot have
    // run.
    const bool isRetryAllowed = errorResponse.executionStatus == Base::ExecutionStatus::NotExecuted
        && failure.retryAfter > Base::Milliseconds();
    response.set("x-should-retry", isRetryAllowed ? "true" : "false");
    sendResponse(response, errorResponse.httpStatus, "application/json", errorBody(failure));
}

void sendResponse(Poco::Net::HTTPServerResponse &response, int status,
    const std::string &contentType, const std::string &body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (!contentType.empty())
        response.setContentType(contentType);
    response.sendBuffer(body.data(), body.size());
}

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object)
{
    sendResponse(response, Poco::Net::HTTPResponse::HTTP_OK, "application/json", toJson(object));
}

Base::Result<std::string> tryReadBody(Poco::Net::HTTPServerRequest &request, std::size_t limit)
{
    constexpr std::size_t ChunkSize = 16'384;
    const bool hasLength = request.hasContentLength();
    const auto announced = hasLength ? static_cast<std::size_t>(request.getContentLength64()) : 0;
    if (announced > limit) {
        return Base::fail(Base::ErrorKind::BodyTooLarge,
            "the body is longer than " + std::to_string(limit) + " bytes");
    }
    std::string body;
    std::array<char, ChunkSize> buf;
    try {
        auto &stream = request.stream();
        while (stream.read(buf.data(), buf.size()) || stream.gcount() > 0) {
            body.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
            if (body.size() > limit) {
                return Base::fail(Base::ErrorKind::BodyTooLarge,
                    "the body is longer than " + std::to_string(limit) + " bytes");
            }
        }
        if (stream.bad())
            return Base::fail(Base::ErrorKind::RequestReadTimeout, "the body did not come in time");
    } catch (const Poco::TimeoutException &) {
        return Base::fail(Base::ErrorKind::RequestReadTimeout, "the body did not come in time");
    } catch (const Poco::Exception &ex) {
        return Base::fail(Base::ErrorKind::MalformedRequest, ex.displayText());
    }
    if (hasLength && body.size() != announced) {
        return Base::fail(
            Base::ErrorKind::RequestReadTimeout, "the body is shorter than announced");
    }
    return body;
}

Base::Result<Poco::JSON::Object::Ptr> tryParseObject(std::string_view text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaxBodyDepth);
        const auto value = parser.parse(std::string(text));
        if (value.type() == typeid(Poco::JSON::Object::Ptr))
            return value.extract<Poco::JSON::Object::Ptr>();
        return Base::fail(Base::ErrorKind::MalformedJson, "the body is not a JSON object");
    } catch (const std::exception &ex) {
        return Base::fail(
            Base::ErrorKind::MalformedJson, std::string("the body is not JSON: ") + ex.what());
    }
}

std::string bearerKey(const Poco::Net::HTTPServerRequest &request)
{
    constexpr std::string_view Prefix = "Bearer ";
    const auto &field = request.get("Authorization", "");
    if (!field.starts_with(Prefix))
        return {};
    return field.substr(Prefix.size());
}

std::string sha256Hex(std::string_view text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::size_t headerSize(const Poco::Net::HTTPServerRequest &request)
{
    auto size = request.getMethod().size() + request.getURI().size();
    for (const auto &[name, value] : request)
        size += name.size() + value.size();
    return size;
}

} // namespace Carawaykeel::Adapters
