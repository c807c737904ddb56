#pragma once

#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

namespace Carawaykeel::Ingress {

/// Passes callers' requests on to backend servers.
class ForwardHandler : public RequestHandler
{
public:
    explicit ForwardHandler(ExchangeContext &context);

    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &caller) override;
    void reject(Base::ErrorKind kind, ResponseWriter &caller) override;
    bool isDraining() const override { return m_isLeaving; }

    /// Connections close after the answers under way.
    void startDraining() { m_isLeaving = true; }

private:
    ExchangeContext &m_context;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
