#pragma once

#include <Carawaykeel/Adapters/PeerChannel.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>
#include <Carawaykeel/Peer/PeerTransport.h>

#include <Poco/Net/TCPServer.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Carawaykeel::Adapters {

/// Sends and receives messages between instances over TCP, as authenticated frames.
class TcpPeerTransport : public Peer::PeerTransport
{
public:
    /// Returns the address of an instance; empty if it is unknown.
    using Resolver = std::function<std::string(const Base::InstanceName &)>;
    using Receiver = std::function<void(const Peer::PeerEnvelope &)>;

    /// Listens on the address. The receiver is called on the scheduler's thread.
    TcpPeerTransport(Base::InstanceId self, const std::string &address, std::size_t frameLimit,
        const Peer::AuthenticatedCodec &codec, Base::Scheduler &scheduler, Resolver resolver,
        Receiver receiver);
    ~TcpPeerTransport() override;

    /// Called on the scheduler's thread.
    void send(const Base::InstanceId &to, Peer::PeerMessage message) override;

    /// Verifies, decodes and delivers one message that a connection has read. Returns false if the
    /// message is malformed; the connection must then be closed.
    bool receive(std::string_view bytes);

    std::size_t frameLimit() const { return m_frameLimit; }
    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t messagesSent() const { return m_messagesSent; }

private:
    const Base::InstanceId m_self;
    const std::size_t m_frameLimit;
    const Peer::AuthenticatedCodec &m_codec;
    Base::Scheduler &m_scheduler;
    Resolver m_resolver;
    Receiver m_receiver;
    std::map<Base::InstanceName, std::unique_ptr<PeerChannel>> m_channels;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_messagesSent = 0;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

} // namespace Carawaykeel::Adapters
