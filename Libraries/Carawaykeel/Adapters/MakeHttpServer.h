#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Carawaykeel::Adapters {

/// Returns an HTTP server on the listener's address, with TLS if it is configured. It enforces the
/// connection limit and the receive timeout of `limits`. The server is not started yet and takes
/// ownership of the factory.
std::unique_ptr<Poco::Net::HTTPServer> makeHttpServer(const ListenerSettings &listener,
    const LimitSettings &limits, Poco::ThreadPool &threads,
    Poco::Net::HTTPRequestHandlerFactory *factory);

} // namespace Carawaykeel::Adapters
