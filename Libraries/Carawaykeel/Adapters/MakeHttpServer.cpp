#include <Carawaykeel/Adapters/MakeHttpServer.h>

#include <Carawaykeel/Adapters/HttpResponses.h>
#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Timespan.h>
#include <fmt/core.h>

namespace Carawaykeel::Adapters {

namespace {

constexpr int MicrosecondsPerMillisecond = 1'000;
constexpr int Backlog = 512;
constexpr int KeepAliveSeconds = 15;

/// Rejects connections beyond the limit with an error response instead of leaving them waiting.
class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit ConnectionLimit(int limit)
        : m_limit(limit)
    {
    }

    void watch(const Poco::Net::TCPServer &server) { m_server = &server; }

    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        const bool isFull = m_server && m_server->currentConnections() >= m_limit;
        if (!isFull)
            return true;
        const auto body = errorBody({Base::ErrorKind::TooManyConnections,
            "too many connections are open", Base::Milliseconds(1'000)});
        const auto response =
            fmt::format("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
                        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                body.size(), body);
        try {
            auto copy = socket;
            copy.sendBytes(response.data(), static_cast<int>(response.size()));
        } catch (const Poco::Exception &) {
            // The caller has already disconnected.
        }
        return false;
    }

private:
    const int m_limit;
    const Poco::Net::TCPServer *m_server = nullptr;
};

Poco::Net::ServerSocket makeSocket(const ListenerSettings &listener)
{
    const Poco::Net::SocketAddress address(listener.address);
    if (!listener.tls.isEnabled())
        return Net::makeExclusiveListener(address, Backlog);
    const Poco::Net::Context::Ptr context =
        new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, listener.tls.privateKeyFile,
            listener.tls.certificateFile, "", Poco::Net::Context::VERIFY_NONE);
    Poco::Net::SecureServerSocket socket(context);
    socket.bind(address, true, false);
    socket.listen(Backlog);
    return socket;
}

} // namespace

std::unique_ptr<Poco::Net::HTTPServer> makeHttpServer(const ListenerSettings &listener,
    const LimitSettings &limits, Poco::ThreadPool &threads,
    Poco::Net::HTTPRequestHandlerFactory *factory)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams();
    params->setMaxThreads(limits.connections);
    params->setMaxQueued(limits.connections);
    params->setTimeout(Poco::Timespan(limits.receiveTimeout.count() * MicrosecondsPerMillisecond));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    auto server =
        std::make_unique<Poco::Net::HTTPServer>(factory, threads, makeSocket(listener), params);
    Poco::AutoPtr<ConnectionLimit> limit(new ConnectionLimit(limits.connections));
    limit->watch(*server);
    server->setConnectionFilter(limit);
    return server;
}

} // namespace Carawaykeel::Adapters
