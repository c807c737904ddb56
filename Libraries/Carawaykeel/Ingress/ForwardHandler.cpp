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
    Http::RequestHead head, std::string body, ResponseWriter &responseWriter)
{
    auto exchange =
        std::make_shared<Exchange>(m_context, std::move(head), std::move(body), responseWriter);
    exchange->start();
    return exchange;
}

void ForwardHandler::reject(Base::ErrorKind kind, ResponseWriter &responseWriter)
{
    const auto retryAfter =
        kind == Base::ErrorKind::MemoryFull ? Exchange::NoServerRetryAfter : Base::Milliseconds();
    sendErrorResponse(responseWriter, {kind, "", retryAfter}, m_context.dialect);
}

} // namespace Carawaykeel::Ingress
