#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Membership/GossipTransport.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace Carawaykeel::Adapters {

/// Sends and receives gossip messages between instances over UDP, as authenticated datagrams.
class UdpGossipTransport : public Membership::GossipTransport
{
public:
    using Receiver = std::function<void(const Membership::GossipMessage &)>;

    /// Binds the address. The receiver is called on the scheduler's thread.
    UdpGossipTransport(const std::string &address, const Peer::AuthenticatedCodec &codec,
        Base::Scheduler &scheduler, Receiver receiver);
    ~UdpGossipTransport() override;

    void send(std::string_view address, const Membership::GossipMessage &message) override;

    std::uint64_t malformed() const { return m_malformed; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t datagramsSent() const { return m_datagramsSent; }

private:
    void run();
    void receive(std::string_view bytes);

    const Peer::AuthenticatedCodec &m_codec;
    Base::Scheduler &m_scheduler;
    Receiver m_receiver;
    Poco::Net::DatagramSocket m_socket;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_malformed = 0;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_datagramsSent = 0;
    std::thread m_thread;
};

} // namespace Carawaykeel::Adapters
