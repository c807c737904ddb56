#pragma once

#include <Carawaykeel/Forwarding/AttemptDecision.h>
#include <Carawaykeel/Forwarding/ResponseMetadata.h>

#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Receives a server's response as it arrives. Is not called again after onResponseComplete or
/// onResponseFailed.
class ResponseHandler
{
public:
    virtual ~ResponseHandler() = default;

    /// Returns false if a request that waits for its connection must not be sent any more.
    virtual bool isServerAllowed() const { return true; }
    virtual void onResponseHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &metadata) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    virtual void onResponseComplete() = 0;
    /// The response is missing, incomplete or invalid.
    virtual void onResponseFailed(Forwarding::AttemptOutcome outcome) = 0;
};

} // namespace Carawaykeel::Ingress
