#pragma once

#include <Carawaykeel/Ingress/CallerConnection.h>
#include <Carawaykeel/Net/Listener.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// Accepts callers' connections on one address and owns them. When no more fit, a connection that
/// waits for a request is closed for the new one.
class CallerListener
{
public:
    CallerListener(Net::Reactor &reactor, const std::string &address, RequestHandler &handler,
        CallerConnection::LimitsProvider limitsProvider, CallerPolicy policy,
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
    bool hasRoom() const;
    void evictOne();
    void onClosed(CallerConnection &connection);
    void scheduleCheck();
    std::vector<std::shared_ptr<CallerConnection>> connections() const;

    Net::Reactor &m_reactor;
    RequestHandler &m_handler;
    const CallerConnection::LimitsProvider m_limitsProvider;
    const CallerPolicy m_policy;
    BufferAccount &m_buffers;
    std::map<const CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    std::map<std::string, std::size_t> m_connectionsByPeer;
    /// Ends with the listener.
    const std::shared_ptr<char> m_lifetime;
    Net::Listener m_listener;
};

} // namespace Carawaykeel::Ingress
