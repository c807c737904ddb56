#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <string>

namespace StandIns {

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

/// Serves HTTP on `address` with `handler` until SIGTERM or SIGINT.
int serve(const std::string &address, std::function<void(Request &, Response &)> handler);

std::string readBody(std::istream &stream);
Poco::JSON::Object::Ptr parseObject(const std::string &text);
void sendJson(Response &response, int status, const Poco::JSON::Object &object);

} // namespace StandIns
