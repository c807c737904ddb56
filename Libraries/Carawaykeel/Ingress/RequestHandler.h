#pragma once

#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Ingress/Caller.h>

#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// A request that is being handled.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;

    virtual void onCallerGone() = 0;
    /// The caller accepts data again after congestion.
    virtual void onCallerReady() = 0;
};

/// Handles complete requests. The response writer outlives the returned request, or calls its
/// onCallerDisconnected.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    virtual std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, Caller &caller) = 0;

    /// Sends an error response for a request that could not be read.
    virtual void refuse(Base::ErrorKind kind, Caller &caller) = 0;

    /// True if connections must be closed after the response in flight.
    virtual bool isLeaving() const = 0;
};

} // namespace Carawaykeel::Ingress
