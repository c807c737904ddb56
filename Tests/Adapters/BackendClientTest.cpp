#include <Carawaykeel/Adapters/BackendClient.h>

#include <Support/BrokenResponses.h>
#include <Support/ScriptedServer.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

/// Responds to one connection with fixed bytes, then closes it or keeps it open until destruction.
class CannedServer
{
public:
    CannedServer(std::string response, bool closesConnection)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, response = std::move(response), closesConnection] {
            auto connection = m_socket.acceptConnection();
            char buf[4'096];
            connection.receiveBytes(buf, sizeof(buf));
            if (!response.empty())
                connection.sendBytes(response.data(), static_cast<int>(response.size()));
            if (!closesConnection) {
                m_openConnection = connection;
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
    Poco::Net::StreamSocket m_openConnection;
    std::thread m_thread;
};

Base::Outcome<std::string> send(
    Adapters::BackendClient &client, const Adapters::BackendRequest &request)
{
    return Base::toOutcome<std::string>([&]() -> Base::Result<std::string> {
        BOOST_LEAF_AUTO(exchange, client.trySend(request));
        return exchange->tryReadResponseBody(1'000);
    });
}

Base::Outcome<std::string> fetch(const std::string &response, bool closesConnection)
{
    Adapters::LimitSettings limits;
    limits.backendTimeout = Base::Milliseconds(300);
    CannedServer server(response, closesConnection);
    Adapters::BackendClient client(limits);
    return send(client, {server.address(), "GET", "/", {}, "", Base::AttemptId("mine"), true});
}

Base::ErrorKind errorKindOf(const Base::Outcome<std::string> &outcome)
{
    CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(outcome));
    return std::get<Base::Failure>(outcome).kind;
}

} // namespace

/// Truncated, mismatched, late and missing responses of a backend server must not pass as complete.
class BackendClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendClientTest);
    CPPUNIT_TEST(completeResponsesAreRead);
    CPPUNIT_TEST(shortResponseIsIncomplete);
    CPPUNIT_TEST(truncatedChunkedResponseIsIncomplete);
    CPPUNIT_TEST(responseWithoutLengthIsIncomplete);
    CPPUNIT_TEST(responseToAnotherAttemptIsMismatch);
    CPPUNIT_TEST(missingResponseIsATimeout);
    CPPUNIT_TEST(responseOverTheLimitIsIncomplete);
    CPPUNIT_TEST(connectFailureIsServerRefused);
    CPPUNIT_TEST(invalidStatusIsNoResponse);
    CPPUNIT_TEST(invalidHeadsAreNoResponses);
    CPPUNIT_TEST(invalidInterimHeadsAreNoResponses);
    CPPUNIT_TEST(invalidTrailersAreNoResponses);
    CPPUNIT_TEST(partsOfEarlyResponsesAreIncomplete);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeResponsesAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
            std::get<std::string>(fetch("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false)));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
            std::get<std::string>(
                fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                    false)));
    }

    void shortResponseIsIncomplete()
    {
        CPPUNIT_ASSERT(errorKindOf(fetch("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
        CPPUNIT_ASSERT(errorKindOf(fetch("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void truncatedChunkedResponseIsIncomplete()
    {
        CPPUNIT_ASSERT(
            errorKindOf(
                fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true))
            == Base::ErrorKind::ResponseIncomplete);
        CPPUNIT_ASSERT(errorKindOf(fetch(
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void responseWithoutLengthIsIncomplete()
    {
        CPPUNIT_ASSERT(errorKindOf(fetch("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", true))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void responseToAnotherAttemptIsMismatch()
    {
        CPPUNIT_ASSERT(
            errorKindOf(fetch(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 3\r\n\r\nabc", false))
            == Base::ErrorKind::ResponseMismatch);
    }

    void missingResponseIsATimeout()
    {
        CPPUNIT_ASSERT(errorKindOf(fetch("", false)) == Base::ErrorKind::ServerTimeout);
    }

    void responseOverTheLimitIsIncomplete()
    {
        CPPUNIT_ASSERT(
            errorKindOf(fetch(
                "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'x'), false))
            == Base::ErrorKind::ResponseIncomplete);
    }

    void connectFailureIsServerRefused()
    {
        std::string address;
        {
            const Poco::Net::ServerSocket closedSocket(Poco::Net::SocketAddress("127.0.0.1", 0));
            address = closedSocket.address().toString();
        }
        Adapters::BackendClient client{Adapters::LimitSettings()};
        const auto outcome = Base::toOutcome<std::string>([&]() -> Base::Result<std::string> {
            BOOST_LEAF_AUTO(exchange,
                client.trySend({address, "GET", "/", {}, "", Base::AttemptId("mine"), true}));
            return exchange->tryReadResponseBody(1'000);
        });
        CPPUNIT_ASSERT(errorKindOf(outcome) == Base::ErrorKind::ServerRefused);
    }

    void invalidStatusIsNoResponse() { checkNoResponses(responsesWithInvalidStatus({"", "abc"})); }
    void invalidHeadsAreNoResponses() { checkNoResponses(responsesWithInvalidHead({"", "abc"})); }
    void invalidInterimHeadsAreNoResponses()
    {
        checkNoResponses(responsesWithInvalidInterimHead({"", "abc"}));
    }
    void invalidTrailersAreNoResponses()
    {
        checkNoResponses(responsesWithInvalidTrailer({"", "abc"}));
    }

    static void checkNoResponses(const std::vector<BrokenResponse> &responses)
    {
        ScriptedServer server([&](const ReceivedRequest &, int number) {
            return ScriptedResponse{responses.at(number - 1).bytes};
        });
        Adapters::LimitSettings limits;
        limits.backendTimeout = Base::Milliseconds(300);
        Adapters::BackendClient client(limits);
        std::string names;
        for (const auto &response : responses) {
            const auto outcome = send(client, {server.address(), "GET", "/", {}, "", {}, true});
            names += std::holds_alternative<std::string>(outcome) ? "\n" + response.name : "";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
        CPPUNIT_ASSERT_EQUAL(responses.size(), server.requests().size());
    }

    void partsOfEarlyResponsesAreIncomplete()
    {
        const auto responses = partsOfEarlyResponses({"", "abc"});
        ScriptedServer server(
            [&](const ReceivedRequest &, int number) { return responses.at(number - 1).response; },
            ScriptedServer::Reading::HeadOnly);
        Adapters::LimitSettings limits;
        limits.backendTimeout = Base::Milliseconds(300);
        Adapters::BackendClient client(limits);
        std::string names;
        for (const auto &response : responses) {
            const auto outcome = send(client,
                {server.address(), "POST", "/", {}, std::string(4'000'000, 'u'), {}, false});
            names += std::holds_alternative<std::string>(outcome) ? "\n" + response.name : "";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
    }

    void interimResponsesAreSkipped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
            std::get<std::string>(fetch("HTTP/1.1 100 Continue\r\n\r\n"
                                        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                                        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                false)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace Carawaykeel::Tests
