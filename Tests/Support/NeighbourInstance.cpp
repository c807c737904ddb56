#include <Support/NeighbourInstance.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <utility>
#include <variant>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t MaxFrameBytes = 1'024 * 1'024;

} // namespace

std::string makeLoopbackAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

Membership::Member NeighbourInstance::makeMember(const std::string &name)
{
    Membership::Member member;
    member.id = {Base::InstanceName(name), 1};
    member.gossipAddress = makeLoopbackAddress();
    member.peerAddress = makeLoopbackAddress();
    return member;
}

NeighbourInstance::NeighbourInstance(
    const std::string &name, const std::string &peerKey, Membership::Member receiver)
    : m_self(makeMember(name))
    , m_receiver(std::move(receiver))
    , m_codec(peerKey)
    , m_log(m_self.id, m_logSink)
    , m_peerTransport(
          m_self.id, m_self.peerAddress, MaxFrameBytes, m_codec, m_reactor, m_log,
          [this](const Base::InstanceName &) { return m_receiver.peerAddress; },
          [this](const Peer::PeerEnvelope &envelope) {
              if (std::holds_alternative<Peer::FetchConfiguration>(envelope.message))
                  ++m_fetchRequestCount;
          })
    , m_gossipTransport(
          m_self.gossipAddress, m_codec, m_reactor, [](const Membership::GossipMessage &) {})
    , m_thread([this] { m_reactor.run(); })
{
}

NeighbourInstance::~NeighbourInstance()
{
    m_reactor.stop();
    m_thread.join();
}

void NeighbourInstance::announceConfiguration(std::uint64_t version)
{
    Membership::GossipMessage message;
    message.kind = Membership::GossipKind::Backlogs;
    message.sender = m_self;
    message.configurationVersion = version;
    m_gossipTransport.send(m_receiver.gossipAddress, message);
}

} // namespace Carawaykeel::Tests
