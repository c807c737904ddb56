#pragma once

#include <Carawaykeel/Base/Failure.h>
#include <Carawaykeel/Base/Result.h>

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// Returns the JSON body of an error response, an error object as in the OpenAI API.
std::string errorBody(const Base::Failure &failure);

/// Sends the error response for a failure.
void sendErrorResponse(Poco::Net::HTTPServerResponse &response, const Base::Failure &failure);

/// Sends a complete response.
void sendResponse(Poco::Net::HTTPServerResponse &response, int status,
    const std::string &contentType, const std::string &body);

void sendJson(Poco::Net::HTTPServerResponse &response, const Poco::JSON::Object &object);

std::string toJson(const Poco::JSON::Object &object);

/// Reads a request's body. Fails with BodyTooLarge, RequestReadTimeout or MalformedRequest.
Base::Result<std::string> tryReadBody(Poco::Net::HTTPServerRequest &request, std::size_t limit);

/// Parses an untrusted JSON object. Fails with MalformedJson.
Base::Result<Poco::JSON::Object::Ptr> tryParseObject(std::string_view text);

/// Returns the key after "Bearer " in the Authorization field; empty if there is none.
std::string bearerKey(const Poco::Net::HTTPServerRequest &request);

/// Returns the SHA-256 digest in hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Returns the size of the request's method, URI and header fields in bytes.
std::size_t headerSize(const Poco::Net::HTTPServerRequest &request);

} // namespace Carawaykeel::Adapters
