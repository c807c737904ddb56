#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Carawaykeel::Adapters {

/// An HTTP server on the listener's address, over TLS if it is set so, within the limits. It is not
/// started yet. The factory is owned by the server.
std::unique_ptr<Poco::Net::HTTPServer> makeHttpServer(const ListenerSettings &listener,
    const LimitSettings &limits, Poco::ThreadPool &threads,
    Poco::Net::HTTPRequestHandlerFactory *factory);

} // namespace Carawaykeel::Adapters
