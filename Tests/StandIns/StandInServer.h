#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <string>

namespace StandIns {

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

/// Serves HTTP on the address with one function until SIGTERM.
int serve(const std::string &address, std::function<void(Request &, Response &)> handler);

std::string readAll(std::istream &stream);
Poco::JSON::Object::Ptr parse(const std::string &text);
void answer(Response &response, int status, const Poco::JSON::Object &object);

} // namespace StandIns
