#include <Carawaykeel/Net/BufferedSocket.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace Carawaykeel::Tests {

namespace {

class NoHandler : public Net::SocketHandler
{
public:
    void onReady(Net::Readiness) override { }
    void onFailure() override { }
};

/// A socket and its peer, which has sent four bytes.
class ConnectedPair
{
public:
    ConnectedPair()
        : m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , local(m_reactor, Poco::Net::StreamSocket(m_listener.address()), m_handler)
        , peer(m_listener.acceptConnection())
    {
        peer.sendBytes("part", 4);
    }

    void resetPeer()
    {
        peer.setLinger(true, 0);
        peer.close();
    }

    /// Reads until the connection has ended, and returns how it did.
    Net::ReadOutcome readToEnd()
    {
        std::string in;
        auto outcome = Net::ReadOutcome::Data;
        while (outcome == Net::ReadOutcome::Data || outcome == Net::ReadOutcome::WouldBlock)
            outcome = local.read(in);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), in);
        return outcome;
    }

private:
    Poco::Net::ServerSocket m_listener;
    Net::Reactor m_reactor;
    NoHandler m_handler;

public:
    Net::BufferedSocket local;
    Poco::Net::StreamSocket peer;
};

} // namespace

/// How the end of a connection is told from its failure.
class BufferedSocketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BufferedSocketTest);
    CPPUNIT_TEST(closeAfterAllBytesIsOrderly);
    CPPUNIT_TEST(resetIsAFailure);
    CPPUNIT_TEST(resetThatASendHasReportedIsNotOrderly);
    CPPUNIT_TEST(resetAfterACloseIsNotOrderly);
    CPPUNIT_TEST(closeBeforeAllBytesIsNotOrderly);
    CPPUNIT_TEST_SUITE_END();

public:
    void closeAfterAllBytesIsOrderly()
    {
        ConnectedPair pair;
        pair.local.send("request");
        char buf[16];
        CPPUNIT_ASSERT_EQUAL(7, pair.peer.receiveBytes(buf, sizeof(buf)));
        pair.peer.close();
        CPPUNIT_ASSERT(pair.readToEnd() == Net::ReadOutcome::EndOfStream);
        CPPUNIT_ASSERT(pair.local.isOrderlyEnd());
    }

    void resetIsAFailure()
    {
        ConnectedPair pair;
        pair.resetPeer();
        CPPUNIT_ASSERT(pair.readToEnd() == Net::ReadOutcome::Failed);
    }

    /// The system reports a reset once, to the send here, and ends the stream for later reads.
    void resetThatASendHasReportedIsNotOrderly()
    {
        ConnectedPair pair;
        pair.resetPeer();
        while (pair.local.send("request")) { }
        CPPUNIT_ASSERT(pair.readToEnd() == Net::ReadOutcome::EndOfStream);
        CPPUNIT_ASSERT(!pair.local.isOrderlyEnd());
    }

    void resetAfterACloseIsNotOrderly()
    {
        ConnectedPair pair;
        pair.peer.shutdownSend();
        pair.resetPeer();
        CPPUNIT_ASSERT(pair.readToEnd() == Net::ReadOutcome::EndOfStream);
        CPPUNIT_ASSERT(!pair.local.isOrderlyEnd());
    }

    void closeBeforeAllBytesIsNotOrderly()
    {
        constexpr std::size_t MoreThanBuffersHold = 32 * 1'024 * 1'024;
        for (const std::size_t bytes : {std::size_t(8'000'000), MoreThanBuffersHold}) {
            ConnectedPair pair;
            pair.local.send(std::string(bytes, 'u'));
            pair.peer.shutdownSend();
            CPPUNIT_ASSERT(pair.readToEnd() == Net::ReadOutcome::EndOfStream);
            CPPUNIT_ASSERT(!pair.local.isOrderlyEnd());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BufferedSocketTest);

} // namespace Carawaykeel::Tests
