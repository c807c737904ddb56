#include <Carawaykeel/Ingress/ForwardHandler.h>

#include <Carawaykeel/Ingress/Exchange.h>
#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <utility>

namespace Carawaykeel::Ingress {

ForwardHandler::ForwardHandler(ExchangeContext &context)
    : m_context(context)
{
}

bool ForwardHandler::wantsBody(const Poco::Net::HTTPRequest &head) const
{
    const auto outcome = Base::toOutcome<bool>([&]() -> Base::Result<bool> {
        BOOST_LEAF_AUTO(metadata, m_context.dialect.tryReadRequest(head));
        BOOST_LEAF_CHECK(Exchange::tryAdmitHead(m_context, head, metadata, false));
        return true;
    });
    return std::holds_alternative<bool>(outcome);
}

std::shared_ptr<ActiveRequest> ForwardHandler::handle(
    Http::RequestHead head, std::string body, ResponseWriter &responseWriter)
{
    // Timers refer to an exchange for longer than it lives, so it must not share the allocation of
    // its reference counts.
    std::shared_ptr<Exchange> exchange(
        new Exchange(m_context, std::move(head), std::move(body), responseWriter));
    exchange->start();
    return exchange;
}

void ForwardHandler::handleWithoutBody(Http::RequestHead head, ResponseWriter &responseWriter)
{
    std::make_shared<Exchange>(m_context, std::move(head), std::string(), responseWriter)->refuse();
}

void ForwardHandler::reject(Base::ErrorKind kind, ResponseWriter &responseWriter)
{
    const auto retryAfter =
        kind == Base::ErrorKind::MemoryFull ? Exchange::NoServerRetryAfter : Base::Milliseconds();
    sendErrorResponse(responseWriter, {kind, "", retryAfter}, m_context.dialect);
}

} // namespace Carawaykeel::Ingress
