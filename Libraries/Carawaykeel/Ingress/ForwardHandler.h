#pragma once

#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

namespace Carawaykeel::Ingress {

/// Forwards callers' requests to backend servers.
class ForwardHandler : public RequestHandler
{
public:
    explicit ForwardHandler(ExchangeContext &context);

    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &caller) override;
    void reject(Base::ErrorKind kind, ResponseWriter &caller) override;
    bool isDraining() const override { return m_isLeaving; }

    /// Makes connections close after the response in flight.
    void startDraining() { m_isLeaving = true; }

private:
    ExchangeContext &m_context;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
