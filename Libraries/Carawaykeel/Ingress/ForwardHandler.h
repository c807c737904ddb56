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
        Http::RequestHead head, std::string body, Caller &caller) override;
    void refuse(Base::ErrorKind kind, Caller &caller) override;
    bool isLeaving() const override { return m_isLeaving; }

    /// Makes connections close after the response in flight.
    void startLeaving() { m_isLeaving = true; }

private:
    ExchangeContext &m_context;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
