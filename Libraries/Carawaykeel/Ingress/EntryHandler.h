#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Carawaykeel::Ingress {

/// Addresses that callers of a data centre connect to, and how long callers may cache them.
struct EntryResponse
{
    std::vector<std::string> addresses;
    Base::Milliseconds cacheTime;
};

/// Handles entry queries (where to connect) and readiness probes (whether this instance accepts
/// requests).
class EntryHandler : public RequestHandler
{
public:
    using EntryProvider = std::function<EntryResponse(const Forwarding::EntryQuery &)>;

    EntryHandler(const Forwarding::Dialect &dialect, EntryProvider entryProvider,
        std::function<bool()> isReady);

    bool wantsBody(const Poco::Net::HTTPRequest &) const override { return false; }
    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &responseWriter) override;
    void handleWithoutBody(Http::RequestHead head, ResponseWriter &responseWriter) override
    {
        handle(std::move(head), {}, responseWriter);
    }
    void reject(Base::ErrorKind kind, ResponseWriter &responseWriter) override;
    bool isDraining() const override { return false; }

private:
    const Forwarding::Dialect &m_dialect;
    const EntryProvider m_entryProvider;
    const std::function<bool()> m_isReady;
};

} // namespace Carawaykeel::Ingress
