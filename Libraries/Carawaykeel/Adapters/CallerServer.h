#pragma once

#include <Carawaykeel/Adapters/CallerContext.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Carawaykeel::Adapters {

/// HTTP server for callers.
class CallerServer
{
public:
    CallerServer(const ListenerSettings &listener, CallerContext &context);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Accepts no new connections; open ones continue.
    void stop();

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace Carawaykeel::Adapters
