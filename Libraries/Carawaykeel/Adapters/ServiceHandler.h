#pragma once

#include <Carawaykeel/Adapters/CallerHandler.h>

namespace Carawaykeel::Adapters {

/// Handles calls of plain services, under /services/NAME/...
class ServiceHandler : public CallerHandler
{
public:
    using CallerHandler::CallerHandler;

protected:
    Base::Result<void> tryHandle(const Configuration::TeamDeclaration &team,
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;
};

} // namespace Carawaykeel::Adapters
