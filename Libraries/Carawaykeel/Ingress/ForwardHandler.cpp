#include <Carawaykeel/Ingress/ForwardHandler.h>

#include <Carawaykeel/Ingress/Exchange.h>
#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <utility>

namespace Carawaykeel::Ingress {

ForwardHandler::ForwardHandler(ExchangeContext &context)
    : m_context(context)
{
}

std::shared_ptr<ActiveRequest> ForwardHandler::handle(
    Http::RequestHead head, std::string body, ResponseWriter &caller)
{
    auto exchange = std::make_shared<Exchange>(m_context, std::move(head), std::move(body), caller);
    exchange->start();
    return exchange;
}

void ForwardHandler::reject(Base::ErrorKind kind, ResponseWriter &caller)
{
    sendErrorResponse(caller, {kind, "", Base::Milliseconds()}, m_context.dialect);
}

} // namespace Carawaykeel::Ingress
