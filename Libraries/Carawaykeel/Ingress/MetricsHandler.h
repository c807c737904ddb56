#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

#include <functional>
#include <string>
#include <utility>

namespace Carawaykeel::Ingress {

/// Serves the metrics page.
class MetricsHandler : public RequestHandler
{
public:
    MetricsHandler(const Forwarding::Dialect &dialect, std::function<std::string()> pageProvider);

    bool wantsBody(const Poco::Net::HTTPRequest &) const override { return false; }
    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &responseWriter) override;
    void handleWithoutBody(Http::RequestHead head, ResponseWriter &responseWriter) override
    {
        handle(std::move(head), {}, responseWriter);
    }
    void reject(Base::ErrorKind kind, ResponseWriter &responseWriter) override;
    bool isDraining() const override { return false; }

private:
    const Forwarding::Dialect &m_dialect;
    const std::function<std::string()> m_pageProvider;
};

} // namespace Carawaykeel::Ingress
