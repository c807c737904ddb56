#pragma once

#include <Carawaykeel/Ingress/ClientConnection.h>
#include <Carawaykeel/Net/Listener.h>

#include <map>
#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// Accepts callers' connections on one address and owns them.
class ClientConnections
{
public:
    ClientConnections(Net::Reactor &reactor, const std::string &address, RequestHandler &handler,
        ClientConnection::LimitsSource limits, std::size_t most);

    /// Closes connections without a request at once, and the others after their response.
    void closeIdle();
    void stopAccepting() { m_listener.close(); }

    Poco::Net::SocketAddress address() const { return m_listener.address(); }
    std::size_t count() const { return m_connections.size(); }

private:
    void accept(const Poco::Net::StreamSocket &socket);

    Net::Reactor &m_reactor;
    RequestHandler &m_handler;
    const ClientConnection::LimitsSource m_limits;
    const std::size_t m_most;
    std::map<const ClientConnection *, std::shared_ptr<ClientConnection>> m_connections;
    Net::Listener m_listener;
};

} // namespace Carawaykeel::Ingress
