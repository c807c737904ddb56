#include <Carawaykeel/Ingress/FailureAnswer.h>

#include <Carawaykeel/Adapters/HttpAnswers.h>

namespace Carawaykeel::Ingress {

void answerWithFailure(
    Caller &caller, const Base::Failure &failure, const Forwarding::Dialect &dialect)
{
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(dialect.statusOf(failure.kind)));
    head.setContentType("application/json");
    if (failure.retryAfter > Base::Milliseconds())
        dialect.writeRetryAfter(head, failure.retryAfter);
    caller.answer(head, Adapters::failureBody(failure));
}

} // namespace Carawaykeel::Ingress
