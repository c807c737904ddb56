#pragma once

#include <Carawaykeel/Ingress/CallerConnection.h>
#include <Carawaykeel/Net/Listener.h>

#include <map>
#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// All callers' connections to one address.
class CallerListener
{
public:
    CallerListener(Net::Reactor &reactor, const std::string &address, RequestHandler &handler,
        CallerConnection::LimitsSource limits, std::size_t most);

    /// Closes connections without a request; the others close after their answer.
    void closeIdle();
    /// Accepts no more connections.
    void stopAccepting() { m_listener.close(); }

    Poco::Net::SocketAddress address() const { return m_listener.address(); }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    void accept(const Poco::Net::StreamSocket &socket);

    Net::Reactor &m_reactor;
    RequestHandler &m_handler;
    const CallerConnection::LimitsSource m_limits;
    const std::size_t m_most;
    std::map<const CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    Net::Listener m_listener;
};

} // namespace Carawaykeel::Ingress
