#pragma once

#include <Carawaykeel/Membership/GossipTransport.h>
#include <Carawaykeel/Net/Reactor.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <string>

namespace Carawaykeel::Transport {

/// Sends and receives gossip messages between instances over UDP, as authenticated datagrams. Any
/// thread may send.
class UdpGossipTransport : public Membership::GossipTransport, public Net::SocketHandler
{
public:
    using Receiver = std::function<void(const Membership::GossipMessage &)>;

    /// Binds the address. The reactor must not run yet, or this must be its thread. The receiver is
    /// called on the reactor's thread.
    UdpGossipTransport(const std::string &address, const Peer::AuthenticatedCodec &codec,
        Net::Reactor &reactor, Receiver receiver);
    ~UdpGossipTransport() override;

    UdpGossipTransport(const UdpGossipTransport &) = delete;
    UdpGossipTransport &operator=(const UdpGossipTransport &) = delete;

    void send(std::string_view address, const Membership::GossipMessage &message) override;
    void sendToAll(std::span<const std::string_view> addresses,
        const Membership::GossipMessage &message) override;

    void onReady(Net::Readiness readiness) override;
    void onFailure() override { }

    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t datagramsSent() const { return m_datagramsSent; }

private:
    void sendBytes(std::string_view address, const std::string &bytes);
    bool receiveNext();
    void receive(std::string_view bytes);

    const Peer::AuthenticatedCodec &m_codec;
    Net::Reactor &m_reactor;
    Receiver m_receiver;
    Poco::Net::DatagramSocket m_socket;
    std::string m_buffer;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_datagramsSent = 0;
};

} // namespace Carawaykeel::Transport
