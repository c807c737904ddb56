#include <Carawaykeel/Transport/UdpGossipTransport.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <utility>

namespace Carawaykeel::Transport {

namespace {

constexpr std::size_t MaxDatagramSize = 65'507;
/// Maximum datagrams received per event, so that a burst does not delay other sockets.
constexpr int DatagramsPerEvent = 64;

} // namespace

UdpGossipTransport::UdpGossipTransport(const std::string &address,
    const Peer::AuthenticatedCodec &codec, Net::Reactor &reactor, Receiver receiver)
    : m_codec(codec)
    , m_reactor(reactor)
    , m_receiver(std::move(receiver))
    , m_socket(Poco::Net::SocketAddress(address))
    , m_buffer(MaxDatagramSize, '\0')
{
    m_socket.setBlocking(false);
    m_reactor.watch(m_socket, *this, true, false);
}

UdpGossipTransport::~UdpGossipTransport()
{
    m_reactor.unwatch(m_socket);
}

void UdpGossipTransport::send(std::string_view address, const Membership::GossipMessage &message)
{
    sendBytes(address, m_codec.encode(message));
}

void UdpGossipTransport::sendToAll(
    std::span<const std::string_view> addresses, const Membership::GossipMessage &message)
{
    const auto bytes = m_codec.encode(message);
    for (const auto address : addresses)
        sendBytes(address, bytes);
}

void UdpGossipTransport::sendBytes(std::string_view address, const std::string &bytes)
{
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
            Poco::Net::SocketAddress(std::string(address)));
        m_bytesSent += bytes.size();
        ++m_datagramsSent;
    } catch (const Poco::Exception &) {
        // A failed send is equivalent to a lost datagram.
    }
}

void UdpGossipTransport::onReady(Net::Readiness)
{
    for (int n = 0; n < DatagramsPerEvent && receiveNext(); ++n) { }
}

bool UdpGossipTransport::receiveNext()
{
    try {
        Poco::Net::SocketAddress from;
        const auto n =
            m_socket.receiveFrom(m_buffer.data(), static_cast<int>(m_buffer.size()), from);
        if (n < 0)
            return false;
        receive(std::string_view(m_buffer).substr(0, static_cast<std::size_t>(n)));
        return true;
    } catch (const Poco::Exception &) {
        // No datagram is waiting, or the receiver of an earlier one refused it; the socket remains
        // usable.
        return false;
    }
}

void UdpGossipTransport::receive(std::string_view bytes)
{
    const auto outcome = Base::toOutcome<Membership::GossipMessage>(
        [&] { return m_codec.tryDecode<Membership::GossipMessage>(bytes); });
    if (const auto *message = std::get_if<Membership::GossipMessage>(&outcome))
        return m_receiver(*message);
    ++m_malformed;
}

} // namespace Carawaykeel::Transport
