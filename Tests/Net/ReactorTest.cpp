#include <Carawaykeel/Net/BufferedSocket.h>
#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

/// A connection whose handler throws on the bytes "bad".
class ThrowingConnection : public Net::SocketHandler
{
public:
    ThrowingConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket)
        : m_socket(reactor, socket, *this)
    {
    }

    void onReady(Net::Readiness) override
    {
        if (m_socket.read(received) == Net::ReadOutcome::Data && received.ends_with("bad"))
            throw std::runtime_error("bad bytes");
    }
    void onFailure() override { m_socket.close(); }

    bool isOpen() const { return m_socket.isOpen(); }

    std::string received;

private:
    Net::BufferedSocket m_socket;
};

void sendTo(Poco::Net::StreamSocket &socket, const std::string &bytes)
{
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

/// Exceptions that handlers and tasks throw.
class ReactorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReactorTest);
    CPPUNIT_TEST(exceptionEndsOneConnectionOnly);
    CPPUNIT_TEST(exceptionOfATaskDoesNotEndTheLoop);
    CPPUNIT_TEST(exceptionWithoutObserverEndsTheLoop);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against bytes of one peer that end the whole process.
    void exceptionEndsOneConnectionOnly()
    {
        Net::Reactor reactor;
        std::vector<std::string> reasons;
        reactor.setFailureObserver([&](std::string_view reason) { reasons.emplace_back(reason); });
        Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
        Poco::Net::StreamSocket good(server.address());
        const auto goodSide = server.acceptConnection();
        Poco::Net::StreamSocket bad(server.address());
        const auto badSide = server.acceptConnection();
        ThrowingConnection goodConnection(reactor, goodSide);
        ThrowingConnection badConnection(reactor, badSide);
        sendTo(bad, "bad");
        reactor.schedule(Base::Milliseconds(50), [&] { sendTo(good, "good"); });
        reactor.schedule(Base::Milliseconds(150), [&] { reactor.stop(); });
        reactor.run();
        CPPUNIT_ASSERT(!badConnection.isOpen());
        CPPUNIT_ASSERT(goodConnection.isOpen());
        CPPUNIT_ASSERT_EQUAL(std::string("good"), goodConnection.received);
        CPPUNIT_ASSERT(reasons == std::vector<std::string>{"bad bytes"});
    }

    void exceptionOfATaskDoesNotEndTheLoop()
    {
        Net::Reactor reactor;
        int failures = 0;
        reactor.setFailureObserver([&](std::string_view) { ++failures; });
        bool hasRun = false;
        reactor.post([] { throw std::runtime_error("bad task"); });
        reactor.post([&] { hasRun = true; });
        reactor.post([&] { reactor.stop(); });
        reactor.run();
        CPPUNIT_ASSERT(hasRun);
        CPPUNIT_ASSERT_EQUAL(1, failures);
    }

    void exceptionWithoutObserverEndsTheLoop()
    {
        Net::Reactor reactor;
        reactor.post([] { throw std::runtime_error("bad task"); });
        CPPUNIT_ASSERT_THROW(reactor.run(), std::runtime_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReactorTest);

} // namespace Carawaykeel::Tests
