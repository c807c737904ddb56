#include <Carawaykeel/Adapters/TcpPeerTransport.h>

#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr int MaxConnections = 512;

/// Reads frames from one connection until it ends or a malformed frame arrives.
class PeerConnection : public Poco::Net::TCPServerConnection
{
public:
    PeerConnection(const Poco::Net::StreamSocket &socket, TcpPeerTransport &transport)
        : TCPServerConnection(socket)
        , m_transport(transport)
    {
    }

    void run() override
    {
        socket().setReceiveTimeout(Poco::Timespan());
        socket().setKeepAlive(true);
        try {
            while (readFrame()) { }
        } catch (const Poco::Exception &) {
            // A lost connection loses messages; senders that need a reply retry.
        }
    }

private:
    bool readFrame()
    {
        std::string header(FrameHeaderLength, '\0');
        if (!readAll(header))
            return false;
        const auto length = decodeFrameHeader(header);
        if (length > m_transport.frameLimit())
            return false;
        std::string message(length, '\0');
        return readAll(message) && m_transport.receive(message);
    }

    bool readAll(std::string &buf)
    {
        std::size_t n = 0;
        while (n < buf.size()) {
            const auto received =
                socket().receiveBytes(buf.data() + n, static_cast<int>(buf.size() - n));
            if (received <= 0)
                return false;
            n += static_cast<std::size_t>(received);
        }
        return true;
    }

    TcpPeerTransport &m_transport;
};

class PeerConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit PeerConnectionFactory(TcpPeerTransport &transport)
        : m_transport(transport)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new PeerConnection(socket, m_transport);
    }

private:
    TcpPeerTransport &m_transport;
};

} // namespace

TcpPeerTransport::TcpPeerTransport(Base::InstanceId self, const std::string &address,
    std::size_t frameLimit, const Peer::AuthenticatedCodec &codec, Base::Scheduler &scheduler,
    Resolver resolver, Receiver receiver)
    : m_self(std::move(self))
    , m_frameLimit(frameLimit)
    , m_codec(codec)
    , m_scheduler(scheduler)
    , m_resolver(std::move(resolver))
    , m_receiver(std::move(receiver))
{
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams();
    params->setMaxThreads(MaxConnections);
    params->setMaxQueued(MaxConnections);
    m_server = std::make_unique<Poco::Net::TCPServer>(new PeerConnectionFactory(*this),
        Net::makeExclusiveListener(Poco::Net::SocketAddress(address)), params);
    m_server->start();
}

TcpPeerTransport::~TcpPeerTransport()
{
    m_server->stop();
}

void TcpPeerTransport::send(const Base::InstanceId &to, Peer::PeerMessage message)
{
    const auto address = m_resolver(to.name);
    if (address.empty())
        return;
    auto &channel = m_channels[to.name];
    if (!channel || channel->address() != address)
        channel = std::make_unique<PeerChannel>(address);
    channel->send(m_codec.encode(Peer::PeerEnvelope{m_self, to, std::move(message)}));
    ++m_messagesSent;
}

bool TcpPeerTransport::receive(std::string_view bytes)
{
    auto outcome = Base::toOutcome<Peer::PeerEnvelope>(
        [&] { return m_codec.tryDecode<Peer::PeerEnvelope>(bytes); });
    auto *envelope = std::get_if<Peer::PeerEnvelope>(&outcome);
    if (!envelope) {
        ++m_malformed;
        return false;
    }
    const bool isForThisIncarnation = envelope->to.incarnation == 0 || envelope->to == m_self;
    if (isForThisIncarnation) {
        m_scheduler.schedule(Base::Milliseconds(),
            [this, envelope = std::move(*envelope)] { m_receiver(envelope); });
    }
    return true;
}

} // namespace Carawaykeel::Adapters
