#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

#include <functional>
#include <string>

namespace Carawaykeel::Ingress {

/// Serves the metrics page.
class MetricsHandler : public RequestHandler
{
public:
    MetricsHandler(const Forwarding::Dialect &dialect, std::function<std::string()> page);

    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &caller) override;
    void reject(Base::ErrorKind kind, ResponseWriter &caller) override;
    bool isDraining() const override { return false; }

private:
    const Forwarding::Dialect &m_dialect;
    const std::function<std::string()> m_page;
};

} // namespace Carawaykeel::Ingress
