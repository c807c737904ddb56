#include <Carawaykeel/Adapters/UdpGossipTransport.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t MaxDatagramSize = 65'507;
/// Longest time until the receiving thread notices that it is to stop.
const Poco::Timespan PollTimeout(0, 200'000);

} // namespace

UdpGossipTransport::UdpGossipTransport(const std::string &address,
    const Peer::AuthenticatedCodec &codec, Base::Scheduler &scheduler, Receiver receiver)
    : m_codec(codec)
    , m_scheduler(scheduler)
    , m_receiver(std::move(receiver))
    , m_socket(Poco::Net::SocketAddress(address))
    , m_thread([this] { run(); })
{
}

UdpGossipTransport::~UdpGossipTransport()
{
    m_isStopping = true;
    m_thread.join();
}

void UdpGossipTransport::send(std::string_view address, const Membership::GossipMessage &message)
{
    const auto bytes = m_codec.encode(message);
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
            Poco::Net::SocketAddress(std::string(address)));
        m_bytesSent += bytes.size();
        ++m_datagramsSent;
    } catch (const Poco::Exception &) {
        // A failed send is equivalent to a lost datagram.
    }
}

void UdpGossipTransport::run()
{
    std::string buf(MaxDatagramSize, '\0');
    while (!m_isStopping) {
        try {
            if (!m_socket.poll(PollTimeout, Poco::Net::Socket::SELECT_READ))
                continue;
            Poco::Net::SocketAddress from;
            const auto n = m_socket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
            if (n > 0)
                receive(std::string_view(buf.data(), static_cast<std::size_t>(n)));
        } catch (const Poco::Exception &) {
            // The receiver of an earlier datagram refused it; the socket remains usable.
        }
    }
}

void UdpGossipTransport::receive(std::string_view bytes)
{
    auto outcome = Base::toOutcome<Membership::GossipMessage>(
        [&] { return m_codec.tryDecode<Membership::GossipMessage>(bytes); });
    if (auto *message = std::get_if<Membership::GossipMessage>(&outcome)) {
        m_scheduler.schedule(
            Base::Milliseconds(), [this, message = std::move(*message)] { m_receiver(message); });
        return;
    }
    ++m_malformed;
}

} // namespace Carawaykeel::Adapters
