#pragma once

#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

namespace Carawaykeel::Ingress {

/// Forwards callers' requests to backend servers.
class ForwardHandler : public RequestHandler
{
public:
    explicit ForwardHandler(ExchangeContext &context);

    /// A body is wanted only if the request would be admitted.
    bool wantsBody(const Poco::Net::HTTPRequest &head) const override;
    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &responseWriter) override;
    void handleWithoutBody(Http::RequestHead head, ResponseWriter &responseWriter) override;
    void reject(Base::ErrorKind kind, ResponseWriter &responseWriter) override;
    bool isDraining() const override { return m_isDraining; }

    /// Makes connections close after the response in flight.
    void startDraining() { m_isDraining = true; }

private:
    ExchangeContext &m_context;
    bool m_isDraining = false;
};

} // namespace Carawaykeel::Ingress
