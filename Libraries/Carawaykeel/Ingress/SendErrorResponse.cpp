#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <Carawaykeel/Adapters/HttpResponses.h>

namespace Carawaykeel::Ingress {

void sendErrorResponse(ResponseWriter &responseWriter, const Base::Failure &failure,
    const Forwarding::Dialect &dialect)
{
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(dialect.httpStatusOf(failure.kind)));
    head.setContentType("application/json");
    if (failure.retryAfter > Base::Milliseconds())
        dialect.writeRetryAfterHeader(head, failure.retryAfter);
    responseWriter.sendResponse(head, Adapters::errorBody(failure));
}

} // namespace Carawaykeel::Ingress
