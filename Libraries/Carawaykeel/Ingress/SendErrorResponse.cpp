#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <Carawaykeel/Adapters/HttpAnswers.h>

namespace Carawaykeel::Ingress {

void sendErrorResponse(
    ResponseWriter &caller, const Base::Failure &failure, const Forwarding::Dialect &dialect)
{
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(dialect.httpStatusOf(failure.kind)));
    head.setContentType("application/json");
    if (failure.retryAfter > Base::Milliseconds())
        dialect.writeRetryAfter(head, failure.retryAfter);
    caller.sendResponse(head, Adapters::failureBody(failure));
}

} // namespace Carawaykeel::Ingress
