#pragma once

#include <Carawaykeel/Forwarding/AttemptDecision.h>
#include <Carawaykeel/Forwarding/ResponseMetadata.h>

#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Takes a server's answer as it comes. After onAnswerEnd or onAnswerFailed nothing more comes.
class ResponseHandler
{
public:
    virtual ~ResponseHandler() = default;

    virtual void onResponseHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &terms) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    /// The answer is whole.
    virtual void onResponseComplete() = 0;
    /// The answer will not come, or not whole.
    virtual void onResponseFailed(Forwarding::AttemptOutcome end) = 0;
};

} // namespace Carawaykeel::Ingress
