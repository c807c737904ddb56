#include <Carawaykeel/Ingress/MetricsHandler.h>

#include <Carawaykeel/Ingress/SendErrorResponse.h>
#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <utility>

namespace Carawaykeel::Ingress {

namespace {

constexpr std::string_view Path = "/metrics";

} // namespace

MetricsHandler::MetricsHandler(
    const Forwarding::Dialect &dialect, std::function<std::string()> page)
    : m_dialect(dialect)
    , m_page(std::move(page))
{
}

std::shared_ptr<ActiveRequest> MetricsHandler::handle(
    Http::RequestHead head, std::string, ResponseWriter &caller)
{
    if (head->getURI() != Path || head->getMethod() != Poco::Net::HTTPRequest::HTTP_GET) {
        reject(Base::ErrorKind::NotFound, caller);
        return nullptr;
    }
    Poco::Net::HTTPResponse answer(Poco::Net::HTTPResponse::HTTP_OK);
    answer.setContentType(std::string(Metrics::PrometheusWriter::ContentType));
    caller.sendResponse(answer, m_page());
    return nullptr;
}

void MetricsHandler::reject(Base::ErrorKind kind, ResponseWriter &caller)
{
    sendErrorResponse(caller, {kind, "", Base::Milliseconds()}, m_dialect);
}

} // namespace Carawaykeel::Ingress
