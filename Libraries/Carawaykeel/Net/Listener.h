#pragma once

#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Net {

/// Accepts connections on an address that no other process listens on.
class Listener : public SocketHandler
{
public:
    using AcceptCallback = std::function<void(const Poco::Net::StreamSocket &)>;

    /// Throws Poco::Net::NetException if the address is in use.
    Listener(Reactor &reactor, const std::string &address, AcceptCallback onAccept);
    ~Listener() override;

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Stops listening; connections that are not accepted yet are reset.
    void close();

    Poco::Net::SocketAddress address() const { return m_socket.address(); }

    void onReady(Readiness readiness) override;
    void onFailure() override { }

private:
    /// Accepts nothing for a moment.
    void pause();

    Reactor &m_reactor;
    Poco::Net::ServerSocket m_socket;
    AcceptCallback m_onAccept;
    /// Ends with the listener.
    const std::shared_ptr<char> m_lifetime;
    bool m_isOpen = true;
};

} // namespace Carawaykeel::Net
