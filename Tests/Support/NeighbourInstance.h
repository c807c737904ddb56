#pragma once

#include <Carawaykeel/Membership/Member.h>
#include <Carawaykeel/Net/Reactor.h>
#include <Carawaykeel/Transport/TcpPeerTransport.h>
#include <Carawaykeel/Transport/UdpGossipTransport.h>

#include <Support/MemoryLogSink.h>

#include <atomic>
#include <string>
#include <thread>

namespace Carawaykeel::Tests {

/// An instance of the fleet that announces a configuration version over loopback sockets and counts
/// the requests for its document, without answering them.
class NeighbourInstance
{
public:
    /// `receiver` is the instance under test; `name` must differ from the receiver's.
    NeighbourInstance(
        const std::string &name, const std::string &peerKey, Membership::Member receiver);
    ~NeighbourInstance();

    /// Sends one datagram that carries the version.
    void announceConfiguration(std::uint64_t version);

    int fetchRequestCount() const { return m_fetchRequestCount; }

private:
    static Membership::Member makeMember(const std::string &name);

    const Membership::Member m_self;
    const Membership::Member m_receiver;
    const Peer::AuthenticatedCodec m_codec;
    MemoryLogSink m_logSink;
    const Logging::Logger m_log;
    Net::Reactor m_reactor;
    std::atomic<int> m_fetchRequestCount = 0;
    Transport::TcpPeerTransport m_peerTransport;
    Transport::UdpGossipTransport m_gossipTransport;
    std::thread m_thread;
};

/// Returns a loopback address whose port no other socket uses.
std::string makeLoopbackAddress();

} // namespace Carawaykeel::Tests
