#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>
#include <Carawaykeel/Forwarding/ResponseMetadata.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <optional>
#include <span>
#include <string>

namespace Carawaykeel::Forwarding {

/// What a caller asks for who wants to know where to connect.
struct EntryQuery
{
    std::string host;
    Base::DataCentre dataCentre;
};

/// The manner in which callers and servers name things in their messages. Nothing is decided here.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// Fails with MalformedRequest when a field cannot be read.
    virtual Base::Result<RequestMetadata> tryReadRequest(
        const Poco::Net::HTTPRequest &head) const = 0;

    /// Removes what callers may not set, and the key; call once a request.
    virtual void removeReservedHeaders(Poco::Net::HTTPRequest &head) const = 0;

    /// Writes what the router sets for one server; overwrites what an earlier attempt wrote.
    virtual void writeForwardingHeaders(
        Poco::Net::HTTPRequest &head, const ForwardingMetadata &terms) const = 0;

    virtual ResponseMetadata readResponse(const Poco::Net::HTTPResponse &head) const = 0;

    /// True when the request asks whether this instance takes requests.
    virtual bool isReadinessProbe(const Poco::Net::HTTPRequest &head) const = 0;

    /// The question, when the request asks where to connect.
    virtual std::optional<EntryQuery> readEntryQuery(const Poco::Net::HTTPRequest &head) const = 0;

    /// The body that answers where to connect and for how long that holds.
    virtual std::string writeEntryResponse(
        std::span<const std::string> addresses, Base::Milliseconds keep) const = 0;

    /// The status with which a failure is told; what the closed table says, unless callers of this
    /// dialect know another.
    virtual int httpStatusOf(Base::ErrorKind kind) const = 0;

    /// Writes when to come back, on a refusal.
    virtual void writeRetryAfter(Poco::Net::HTTPResponse &head, Base::Milliseconds delay) const = 0;
};

} // namespace Carawaykeel::Forwarding
