#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Sends the response to one request. Calls have no effect after the caller has disconnected.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends a complete response.
    virtual void sendResponse(Poco::Net::HTTPResponse &head, std::string_view body) = 0;

    /// Starts a response of unknown length.
    virtual void beginStream(Poco::Net::HTTPResponse &head) = 0;
    virtual void sendStream(std::string_view bytes) = 0;
    virtual void endStream() = 0;

    /// Closes the connection so that the response does not look complete.
    virtual void abort() = 0;

    /// True while the caller reads more slowly than the response is sent.
    virtual bool isCongested() const = 0;
};

} // namespace Carawaykeel::Ingress
