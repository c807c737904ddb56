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

/// A caller's query for the addresses to connect to.
struct EntryQuery
{
    std::string host;
    Base::DataCentre dataCentre;
};

/// Translates between HTTP messages of callers and servers and the router's types. Implementations
/// know header names and formats and make no routing decisions.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// Reads the metadata of a request. Fails with MalformedRequest when a field is malformed.
    virtual Base::Result<RequestMetadata> tryReadRequest(
        const Poco::Net::HTTPRequest &head) const = 0;

    /// Removes the key and the header fields that callers may not set. Call once per request.
    virtual void removeReservedHeaders(Poco::Net::HTTPRequest &head) const = 0;

    /// Sets the router's header fields for one server. Overwrites those of an earlier attempt.
    virtual void writeForwardingHeaders(
        Poco::Net::HTTPRequest &head, const ForwardingMetadata &metadata) const = 0;

    virtual ResponseMetadata readResponse(const Poco::Net::HTTPResponse &head) const = 0;

    /// Returns true for a request that checks whether this instance accepts requests.
    virtual bool isReadinessProbe(const Poco::Net::HTTPRequest &head) const = 0;

    /// Reads an entry query. Fails with NotFound for any other request, and with MalformedRequest
    /// when the query cannot be decoded.
    virtual Base::Result<EntryQuery> tryReadEntryQuery(
        const Poco::Net::HTTPRequest &head) const = 0;

    /// Returns the response body with the addresses to connect to and their cache time.
    virtual std::string writeEntryResponse(
        std::span<const std::string> addresses, Base::Milliseconds cacheTime) const = 0;

    /// Returns the HTTP status for a failure: the one of the error table, unless this dialect uses
    /// another.
    virtual int httpStatusOf(Base::ErrorKind kind) const = 0;

    /// Sets the delay after which a rejected caller should retry.
    virtual void writeRetryAfterHeader(
        Poco::Net::HTTPResponse &head, Base::Milliseconds delay) const = 0;
};

} // namespace Carawaykeel::Forwarding
