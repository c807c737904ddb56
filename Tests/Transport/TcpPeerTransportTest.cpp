#include <Carawaykeel/Metrics/ProcessUsage.h>
#include <Carawaykeel/Net/ReactorThread.h>
#include <Carawaykeel/Transport/TcpPeerTransport.h>

#include <Support/MemoryLogSink.h>
#include <Support/NeighbourInstance.h>
#include <Support/PeerFleet.h>

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t MaxFrameBytes = 1'024 * 1'024;
const Base::InstanceId Self{Base::InstanceName("self"), 1};

template <typename Condition>
bool waitUntil(Condition condition)
{
    for (int n = 0; n < 500 && !condition(); ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return condition();
}

/// A transport whose peers are named by their number in a fleet of stand-ins.
class TransportUnderTest
{
public:
    explicit TransportUnderTest(
        const PeerFleet &fleet, const Transport::PeerConnectionPolicy &policy = {})
        : m_address(makeLoopbackAddress())
        , m_log(Self, m_logSink)
        , m_transport(
              Self, m_address, MaxFrameBytes, m_codec, m_thread.reactor(), m_log,
              [&fleet](const Base::InstanceName &name) {
                  return fleet.addressOf(static_cast<std::size_t>(std::stoi(name.text())));
              },
              [this](const Peer::PeerEnvelope &) { ++m_receivedCount; }, policy)
    {
        m_thread.start();
    }

    ~TransportUnderTest() { m_thread.stop(); }

    /// Sends a message to each of the first peers in one iteration of the reactor.
    void sendToPeers(std::size_t count)
    {
        m_thread.reactor().post([this, count] {
            for (std::size_t n = 0; n < count; ++n)
                m_transport.send({Base::InstanceName(std::to_string(n)), 1}, Peer::FetchServers());
        });
    }

    /// Sends a message of about this size to the first peer.
    void sendLarge(std::size_t bytes)
    {
        m_thread.reactor().post([this, bytes] {
            m_transport.send({Base::InstanceName("0"), 1},
                Peer::DeliverConfiguration{1, std::string(bytes, 'x')});
        });
    }

    Poco::Net::StreamSocket connect() const
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(m_address)};
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        return socket;
    }

    std::string makeFrame(const std::string &key = "key") const
    {
        const Peer::AuthenticatedCodec codec(key);
        const auto message = codec.encode(
            Peer::PeerEnvelope{{Base::InstanceName("other"), 1}, Self, Peer::FetchServers()});
        return Transport::encodeFrameHeader(message.size()) + message;
    }

    std::size_t incomingCount()
    {
        return callOnLoop([this] { return m_transport.incomingCount(); });
    }
    std::size_t outgoingCount()
    {
        return callOnLoop([this] { return m_transport.outgoingCount(); });
    }
    const Transport::TcpPeerTransport &transport() const { return m_transport; }
    int receivedCount() const { return m_receivedCount; }
    std::size_t logLineCount() const { return m_logSink.lines().size(); }

private:
    std::size_t callOnLoop(const std::function<std::size_t()> &function)
    {
        std::promise<std::size_t> promise;
        m_thread.reactor().post([&] { promise.set_value(function()); });
        return promise.get_future().get();
    }

    const std::string m_address;
    const Peer::AuthenticatedCodec m_codec{"key"};
    MemoryLogSink m_logSink;
    const Logging::Logger m_log;
    std::atomic<int> m_receivedCount = 0;
    Net::ReactorThread m_thread;
    Transport::TcpPeerTransport m_transport;
};

void sendBytes(Poco::Net::StreamSocket &socket, const std::string &bytes)
{
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/// True if the peer closes the connection in an orderly way or resets it.
bool isClosedByPeer(Poco::Net::StreamSocket &socket)
{
    try {
        std::array<char, 16> buf{};
        return socket.receiveBytes(buf.data(), static_cast<int>(buf.size())) == 0;
    } catch (const Poco::TimeoutException &) {
        return false;
    } catch (const Poco::Exception &) {
        return true;
    }
}

} // namespace

/// Connections between the instances of a large fleet, over loopback sockets.
class TcpPeerTransportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TcpPeerTransportTest);
    CPPUNIT_TEST(threadsAndMemoryDoNotGrowWithPeers);
    CPPUNIT_TEST(connectionsStayWithinTheirLimit);
    CPPUNIT_TEST(idleConnectionsAreClosedAndOpenedAgain);
    CPPUNIT_TEST(peerThatNeverReadsIsGivenUp);
    CPPUNIT_TEST(thousandConnectionsAtOnceAreBounded);
    CPPUNIT_TEST(malformedMessagesCloseOnlyTheirConnection);
    CPPUNIT_TEST(messageThatTricklesInIsGivenUp);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Pattern: a start of a large fleet, in which an instance speaks with all others.
    void threadsAndMemoryDoNotGrowWithPeers()
    {
        constexpr std::size_t MaxBytesPerPeer = 32 * 1'024;
        PeerFleet fleet(300);
        TransportUnderTest instance(fleet);
        const auto before = Metrics::ProcessUsage::now();
        instance.sendToPeers(fleet.count());
        std::vector<Poco::Net::StreamSocket> connections;
        for (std::size_t n = 0; n < fleet.count(); ++n) {
            connections.push_back(instance.connect());
            sendBytes(connections.back(), instance.makeFrame());
        }
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.reachedCount() == fleet.count(); }));
        CPPUNIT_ASSERT(waitUntil([&] { return instance.receivedCount() == 300; }));
        const auto after = Metrics::ProcessUsage::now();
        CPPUNIT_ASSERT_EQUAL(before.threads, after.threads);
        CPPUNIT_ASSERT(after.residentBytes < before.residentBytes + 300 * MaxBytesPerPeer);
    }

    void connectionsStayWithinTheirLimit()
    {
        Transport::PeerConnectionPolicy policy;
        policy.maxOutgoing = 20;
        PeerFleet fleet(80);
        TransportUnderTest instance(fleet, policy);
        instance.sendToPeers(80);
        // Each message arrives although most connections are closed for later ones.
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.reachedCount() == 80; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), instance.transport().messagesSent());
        CPPUNIT_ASSERT(instance.outgoingCount() <= 20);
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.connectionCount() <= 20; }));
    }

    void idleConnectionsAreClosedAndOpenedAgain()
    {
        Transport::PeerConnectionPolicy policy;
        policy.idleTimeout = Base::Milliseconds(300);
        policy.checkInterval = Base::Milliseconds(20);
        PeerFleet fleet(3);
        TransportUnderTest instance(fleet, policy);
        instance.sendToPeers(3);
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.connectionCount() == 3; }));
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.connectionCount() == 0; }));
        instance.sendToPeers(3);
        CPPUNIT_ASSERT(waitUntil([&] { return fleet.connectionCount() == 3; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), instance.transport().messagesDropped());
    }

    void peerThatNeverReadsIsGivenUp()
    {
        Transport::PeerConnectionPolicy policy;
        policy.checkInterval = Base::Milliseconds(20);
        constexpr bool IsReading = false;
        PeerFleet fleet(1, IsReading);
        TransportUnderTest instance(fleet, policy);
        for (int n = 0; n < 40; ++n)
            instance.sendLarge(MaxFrameBytes / 2);
        CPPUNIT_ASSERT(waitUntil([&] { return instance.outgoingCount() == 1; }));
        // What does not fit is dropped, and the connection ends after the stall timeout.
        CPPUNIT_ASSERT(waitUntil([&] { return instance.transport().messagesDropped() > 0; }));
        CPPUNIT_ASSERT(waitUntil([&] { return instance.outgoingCount() == 0; }));
    }

    void thousandConnectionsAtOnceAreBounded()
    {
        PeerFleet fleet(1);
        TransportUnderTest instance(fleet);
        std::vector<Poco::Net::StreamSocket> connections;
        for (int n = 0; n < 1'000; ++n)
            connections.push_back(instance.connect());
        const Transport::PeerConnectionPolicy policy;
        CPPUNIT_ASSERT(waitUntil([&] { return instance.incomingCount() == policy.maxIncoming; }));
        CPPUNIT_ASSERT(isClosedByPeer(connections.back()));
        sendBytes(connections.front(), instance.makeFrame());
        CPPUNIT_ASSERT(waitUntil([&] { return instance.receivedCount() == 1; }));
        connections.clear();
        CPPUNIT_ASSERT(waitUntil([&] { return instance.incomingCount() == 0; }));
        auto next = instance.connect();
        sendBytes(next, instance.makeFrame());
        CPPUNIT_ASSERT(waitUntil([&] { return instance.receivedCount() == 2; }));
    }

    void malformedMessagesCloseOnlyTheirConnection()
    {
        PeerFleet fleet(1);
        TransportUnderTest instance(fleet);
        auto sound = instance.connect();
        sendBytes(sound, instance.makeFrame());
        CPPUNIT_ASSERT(waitUntil([&] { return instance.receivedCount() == 1; }));
        for (int n = 0; n < 20; ++n) {
            for (const auto &bytes : {Transport::encodeFrameHeader(MaxFrameBytes + 1),
                     Transport::encodeFrameHeader(3) + "abc", instance.makeFrame("another key")}) {
                auto malformed = instance.connect();
                sendBytes(malformed, bytes);
                CPPUNIT_ASSERT(isClosedByPeer(malformed));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40), instance.transport().malformed());
        CPPUNIT_ASSERT(instance.logLineCount() >= 1 && instance.logLineCount() <= 10);
        // A connection that ends inside a message is closed without a trace.
        {
            auto broken = instance.connect();
            sendBytes(broken, instance.makeFrame().substr(0, 20));
            broken.setLinger(true, 0);
        }
        sendBytes(sound, instance.makeFrame());
        CPPUNIT_ASSERT(waitUntil([&] { return instance.receivedCount() == 2; }));
        CPPUNIT_ASSERT(waitUntil([&] { return instance.incomingCount() == 1; }));
    }

    void messageThatTricklesInIsGivenUp()
    {
        Transport::PeerConnectionPolicy policy;
        policy.frameTimeout = Base::Milliseconds(300);
        policy.checkInterval = Base::Milliseconds(20);
        PeerFleet fleet(1);
        TransportUnderTest instance(fleet, policy);
        auto slow = instance.connect();
        const auto frame = instance.makeFrame();
        bool isClosed = false;
        for (std::size_t n = 0; n < frame.size() && !isClosed; ++n) {
            try {
                sendBytes(slow, frame.substr(n, 1));
            } catch (const Poco::Exception &) {
                isClosed = true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_ASSERT(isClosed);
        CPPUNIT_ASSERT_EQUAL(0, instance.receivedCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TcpPeerTransportTest);

} // namespace Carawaykeel::Tests
