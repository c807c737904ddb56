#pragma once

#include <Carawaykeel/Ingress/CallerConnection.h>
#include <Carawaykeel/Net/Listener.h>

#include <map>
#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// Accepts callers' connections on one address and owns them.
class CallerListener
{
public:
    CallerListener(Net::Reactor &reactor, const std::string &address, RequestHandler &handler,
        CallerConnection::LimitsProvider limitsProvider, std::size_t maxConnections,
        BufferAccount &buffers);

    /// Closes connections without a request at once, and the others after their response.
    void closeIdle();
    void stopAccepting() { m_listener.close(); }

    Poco::Net::SocketAddress address() const { return m_listener.address(); }
    /// Number of connections whose responses are not sent as a whole yet.
    std::size_t unsentCount() const;
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept(const Poco::Net::StreamSocket &socket);

    Net::Reactor &m_reactor;
    RequestHandler &m_handler;
    const CallerConnection::LimitsProvider m_limitsProvider;
    const std::size_t m_maxConnections;
    BufferAccount &m_buffers;
    std::map<const CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    Net::Listener m_listener;
};

} // namespace Carawaykeel::Ingress
