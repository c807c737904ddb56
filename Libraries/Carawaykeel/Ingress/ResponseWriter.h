#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Where the answer to one request goes. Calls after the caller has gone do nothing.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends a whole answer.
    virtual void sendResponse(Poco::Net::HTTPResponse &head, std::string_view body) = 0;

    /// Begins an answer whose length is not known.
    virtual void beginStream(Poco::Net::HTTPResponse &head) = 0;
    virtual void sendStream(std::string_view bytes) = 0;
    virtual void endStream() = 0;

    /// Ends the connection so that what was sent does not look complete.
    virtual void abort() = 0;

    /// True while the caller takes less than is sent.
    virtual bool isCongested() const = 0;
};

} // namespace Carawaykeel::Ingress
