#pragma once

#include <Carawaykeel/Adapters/CallerContext.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace Carawaykeel::Adapters {

/// The callers' listening address.
class CallerServer
{
public:
    CallerServer(const ListenerSettings &listener, CallerContext &context);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Takes no more connections; those that are open go on.
    void stop();

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace Carawaykeel::Adapters
