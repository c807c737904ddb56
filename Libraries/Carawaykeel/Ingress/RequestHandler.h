#pragma once

#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Ingress/ResponseWriter.h>

#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// One request that is being answered.
class ActiveRequest
{
public:
    virtual ~ActiveRequest() = default;

    /// The caller has closed its connection.
    virtual void onCallerDisconnected() = 0;
    /// The caller takes data again.
    virtual void onCallerWritable() = 0;
};

/// Answers whole requests. The caller outlives the request that is handed back, or says that it has
/// gone.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    virtual std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &caller) = 0;

    /// Answers a request that could not be read.
    virtual void reject(Base::ErrorKind kind, ResponseWriter &caller) = 0;

    /// True while connections are to be closed after the answer that is under way.
    virtual bool isDraining() const = 0;
};

} // namespace Carawaykeel::Ingress
