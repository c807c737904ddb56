#include <Carawaykeel/Adapters/BackendClient.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

/// Answers one connection with these bytes, then closes it or keeps it open until it is destroyed.
class CannedServer
{
public:
    CannedServer(std::string answer, bool closes)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, answer = std::move(answer), closes] {
            auto connection = m_socket.acceptConnection();
            char buf[4'096];
            connection.receiveBytes(buf, sizeof(buf));
            if (!answer.empty())
                connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
            if (!closes) {
                m_kept = connection;
                return;
            }
            connection.shutdownSend();
            connection.close();
        })
    {
    }
    ~CannedServer() { m_thread.join(); }

    std::string address() const { return m_socket.address().toString(); }

private:
    Poco::Net::ServerSocket m_socket;
    Poco::Net::StreamSocket m_kept;
    std::thread m_thread;
};

Base::Outcome<std::string> fetch(const std::string &answer, bool closes)
{
    Adapters::LimitSettings limits;
    limits.backendTimeout = Base::Milliseconds(300);
    CannedServer server(answer, closes);
    Adapters::BackendClient client(limits);
    return Base::toOutcome<std::string>([&]() -> Base::Result<std::string> {
        BOOST_LEAF_AUTO(exchange,
            client.trySend({server.address(), "GET", "/", {}, "", Base::AttemptId("mine"), true}));
        return exchange->tryReadWhole(1'000);
    });
}

Base::ErrorKind kindOf(const Base::Outcome<std::string> &outcome)
{
    CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(outcome));
    return std::get<Base::Failure>(outcome).kind;
}

} // namespace

/// Short, crossed, late and missing answers of a backend server are told from whole ones.
class BackendClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendClientTest);
    CPPUNIT_TEST(wholeAnswersAreRead);
    CPPUNIT_TEST(shortAnswerIsIncomplete);
    CPPUNIT_TEST(chunkedAnswerThatBreaksOffIsIncomplete);
    CPPUNIT_TEST(answerWithoutLengthIsIncomplete);
    CPPUNIT_TEST(otherAttemptsAnswerIsCrossed);
    CPPUNIT_TEST(silenceIsATimeout);
    CPPUNIT_TEST(tooLongAnswerIsRefused);
    CPPUNIT_TEST(unreachableServerHasRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeAnswersAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
            std::get<std::string>(fetch("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false)));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
            std::get<std::string>(
                fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                    false)));
    }

    void shortAnswerIsIncomplete()
    {
        CPPUNIT_ASSERT(kindOf(fetch("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
        CPPUNIT_ASSERT(kindOf(fetch("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void chunkedAnswerThatBreaksOffIsIncomplete()
    {
        CPPUNIT_ASSERT(
            kindOf(fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true))
            == Base::ErrorKind::ResponseIncomplete);
        CPPUNIT_ASSERT(
            kindOf(fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void answerWithoutLengthIsIncomplete()
    {
        CPPUNIT_ASSERT(kindOf(fetch("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void otherAttemptsAnswerIsCrossed()
    {
        CPPUNIT_ASSERT(
            kindOf(fetch(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 3\r\n\r\nabc", false))
            == Base::ErrorKind::ResponseMismatch);
    }

    void silenceIsATimeout()
    {
        CPPUNIT_ASSERT(kindOf(fetch("", false)) == Base::ErrorKind::ServerTimeout);
    }

    void tooLongAnswerIsRefused()
    {
        CPPUNIT_ASSERT(
            kindOf(fetch(
                "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'x'), false))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void unreachableServerHasRefused()
    {
        std::string address;
        {
            const Poco::Net::ServerSocket gone(Poco::Net::SocketAddress("127.0.0.1", 0));
            address = gone.address().toString();
        }
        Adapters::BackendClient client{Adapters::LimitSettings()};
        const auto outcome = Base::toOutcome<std::string>([&]() -> Base::Result<std::string> {
            BOOST_LEAF_AUTO(exchange,
                client.trySend({address, "GET", "/", {}, "", Base::AttemptId("mine"), true}));
            return exchange->tryReadWhole(1'000);
        });
        CPPUNIT_ASSERT(kindOf(outcome) == Base::ErrorKind::ServerRefused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace Carawaykeel::Tests
