#pragma once

#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Net/Listener.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>
#include <Carawaykeel/Peer/PeerTransport.h>
#include <Carawaykeel/Transport/ConnectionUsage.h>
#include <Carawaykeel/Transport/PeerReceiver.h>
#include <Carawaykeel/Transport/PeerSender.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Transport {

/// Sends and receives messages between instances over TCP, as authenticated frames. A connection
/// carries messages in one direction; it is opened with the first message and closed when idle. All
/// connections live on the reactor's thread.
class TcpPeerTransport : public Peer::PeerTransport
{
public:
    /// Returns the address of an instance; empty if it is unknown.
    using Resolver = std::function<std::string(const Base::InstanceName &)>;
    using Receiver = std::function<void(const Peer::PeerEnvelope &)>;

    /// Listens on the address; throws Poco::Exception if that fails. The reactor must not run yet,
    /// or this must be its thread. The receiver is called on the reactor's thread.
    TcpPeerTransport(Base::InstanceId self, const std::string &address, std::size_t frameLimit,
        const Peer::AuthenticatedCodec &codec, Net::Reactor &reactor, const Logging::Logger &log,
        Resolver resolver, Receiver receiver, PeerConnectionPolicy policy = {});
    ~TcpPeerTransport() override;

    TcpPeerTransport(const TcpPeerTransport &) = delete;
    TcpPeerTransport &operator=(const TcpPeerTransport &) = delete;

    /// Called on the reactor's thread.
    void send(const Base::InstanceId &to, Peer::PeerMessage message) override;

    /// Counters since the start; any thread may read them.
    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t messagesSent() const { return m_messagesSent; }
    std::uint64_t messagesDropped() const { return m_messagesDropped; }

    /// Numbers of open connections. Call on the reactor's thread.
    std::size_t outgoingCount() const;
    std::size_t incomingCount() const { return m_receivers.size(); }
    /// Number of bytes that wait to be sent or belong to incomplete messages.
    std::size_t bufferedBytes() const;

private:
    void closeSender(const Base::InstanceName &name);
    PeerSender &senderFor(const Base::InstanceName &name, const std::string &address);
    void accept(const Poco::Net::StreamSocket &stream);
    bool receive(std::string_view bytes);
    void onReceiverClosed(PeerReceiver &receiver, std::string_view violation);
    void reportViolation(std::string_view violation);
    void scheduleChecks();
    void checkTimeouts();

    const Base::InstanceId m_self;
    const std::size_t m_frameLimit;
    const PeerConnectionPolicy m_policy;
    const Peer::AuthenticatedCodec &m_codec;
    Net::Reactor &m_reactor;
    const Logging::Logger &m_log;
    const Resolver m_resolver;
    const Receiver m_receiver;
    /// Ends with the transport, so that scheduled tasks can notice that it is gone.
    const std::shared_ptr<char> m_lifetime;
    ConnectionUsage m_usage;
    std::map<Base::InstanceName, std::shared_ptr<PeerSender>> m_senders;
    /// Closed senders whose queued messages are not sent yet.
    std::vector<std::shared_ptr<PeerSender>> m_finishingSenders;
    std::map<PeerReceiver *, std::shared_ptr<PeerReceiver>> m_receivers;
    Base::Milliseconds m_nextViolationLogAt;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_messagesSent = 0;
    std::atomic<std::uint64_t> m_messagesDropped = 0;
    Net::Listener m_listener;
};

} // namespace Carawaykeel::Transport
