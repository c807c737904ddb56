#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Base/Result.h>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// The JSON body of a refusal, in the form of the OpenAI-compatible error object.
std::string errorBody(const Base::Failure &failure);

/// Answers a request with a refusal.
void sendErrorResponse(Poco::Net::HTTPServerResponse &response, const Base::Failure &failure);

/// Answers a request with a whole body.
void sendResponse(Poco::Net::HTTPServerResponse &response, int status,
    const std::string &contentType, const std::string &body);

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object);

std::string toJson(const Poco::JSON::Object &object);

/// Reads a request's body. Fails with BodyTooLarge, SlowSender or MalformedRequest.
Base::Result<std::string> tryReadBody(Poco::Net::HTTPServerRequest &request, std::size_t limit);

/// Parses a JSON object from outside. Fails with MalformedJson.
Base::Result<Poco::JSON::Object::Ptr> tryParseObject(std::string_view text);

/// The key after "Bearer " in the Authorization field; empty when there is none.
std::string bearerKey(const Poco::Net::HTTPServerRequest &request);

/// SHA-256 in hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Bytes of the request's line and header fields together.
std::size_t headerSize(const Poco::Net::HTTPServerRequest &request);

} // namespace Carawaykeel::Adapters
