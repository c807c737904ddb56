#pragma once

#include <Carawaykeel/Net/BufferedSocket.h>
#include <Carawaykeel/Transport/PeerConnectionPolicy.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Carawaykeel::Transport {

/// Sends messages to one address over one TCP connection, which is opened with the first message.
/// Messages are lost when the connection is; senders that need a reply retry. Used on the reactor's
/// thread.
class PeerSender : public Net::SocketHandler, public std::enable_shared_from_this<PeerSender>
{
public:
    /// `address` is an IP number and a port. The reactor and the policy must outlive the sender.
    PeerSender(Net::Reactor &reactor, const PeerConnectionPolicy &policy, std::string address);

    /// Queues one authenticated message; the messages of one reactor iteration are sent together.
    /// Returns false if it was dropped because too many bytes are queued or the address was
    /// unreachable a moment ago.
    bool send(std::string_view message);

    /// Number of bytes that the connection has not taken yet.
    std::size_t queuedBytes() const;

    /// Closes the connection if it takes too long to connect or its peer takes no bytes.
    void checkTimeouts();

    const std::string &address() const { return m_address; }
    bool isOpen() const { return m_socket != nullptr; }

    void onReady(Net::Readiness readiness) override;
    void onFailure() override { closeAfterFailure(); }

private:
    bool connect();
    void onConnected();
    void flush();
    void close();
    void closeAfterFailure();

    Net::Reactor &m_reactor;
    const PeerConnectionPolicy &m_policy;
    const std::string m_address;
    std::unique_ptr<Net::BufferedSocket> m_socket;
    bool m_isConnecting = false;
    bool m_isFlushScheduled = false;
    /// Messages that are not passed to the socket yet.
    std::string m_queue;
    /// Start of the connection attempt, or the last time that the peer took bytes.
    Base::Milliseconds m_progressAt;
    std::size_t m_unsentBytes = 0;
    Base::Milliseconds m_nextConnectAt;
};

} // namespace Carawaykeel::Transport
