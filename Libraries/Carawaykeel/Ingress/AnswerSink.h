#pragma once

#include <Carawaykeel/Forwarding/AnswerTerms.h>
#include <Carawaykeel/Forwarding/AttemptDecision.h>

#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Receives a server's response as it arrives. Is not called again after onResponseComplete or
/// onResponseFailed.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void onAnswerHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::AnswerTerms &terms) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerEnd() = 0;
    /// There is no response, or only an incomplete one.
    virtual void onAnswerFailed(Forwarding::AttemptEnd end) = 0;
};

} // namespace Carawaykeel::Ingress
