#include <Carawaykeel/Ingress/MetricsHandler.h>

#include <Carawaykeel/Ingress/SendErrorResponse.h>
#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <utility>

namespace Carawaykeel::Ingress {

namespace {

constexpr std::string_view MetricsPath = "/metrics";

} // namespace

MetricsHandler::MetricsHandler(
    const Forwarding::Dialect &dialect, std::function<std::string()> pageProvider)
    : m_dialect(dialect)
    , m_pageProvider(std::move(pageProvider))
{
}

std::shared_ptr<ActiveRequest> MetricsHandler::handle(
    Http::RequestHead head, std::string, ResponseWriter &responseWriter)
{
    if (head->getURI() != MetricsPath || head->getMethod() != Poco::Net::HTTPRequest::HTTP_GET) {
        reject(Base::ErrorKind::NotFound, responseWriter);
        return nullptr;
    }
    Poco::Net::HTTPResponse response(Poco::Net::HTTPResponse::HTTP_OK);
    response.setContentType(std::string(Metrics::PrometheusWriter::ContentType));
    responseWriter.sendResponse(response, m_pageProvider());
    return nullptr;
}

void MetricsHandler::reject(Base::ErrorKind kind, ResponseWriter &responseWriter)
{
    sendErrorResponse(responseWriter, {kind, "", Base::Milliseconds()}, m_dialect);
}

} // namespace Carawaykeel::Ingress
