#pragma once

#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Ingress/ResponseWriter.h>

#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// A request that is being handled.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;

    virtual void onCallerDisconnected() = 0;
    /// The caller accepts data again after congestion.
    virtual void onCallerWritable() = 0;
};

/// Handles complete requests. The response writer must outlive the returned request, or call its
/// onCallerDisconnected() before it is destroyed.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Returns true if the request with this head is handled with its body. Otherwise the response
    /// depends on the head alone, and the body is not read.
    virtual bool wantsBody(const Poco::Net::HTTPRequest &head) const = 0;

    virtual std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &responseWriter) = 0;

    /// Sends the response to a request whose body is not wanted, before it returns.
    virtual void handleWithoutBody(Http::RequestHead head, ResponseWriter &responseWriter) = 0;

    /// Sends an error response for a request that could not be read.
    virtual void reject(Base::ErrorKind kind, ResponseWriter &responseWriter) = 0;

    /// True if connections must be closed after the response in flight.
    virtual bool isDraining() const = 0;
};

} // namespace Carawaykeel::Ingress
