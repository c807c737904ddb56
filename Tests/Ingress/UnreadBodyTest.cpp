#include <Support/RouterHarness.h>
#include <Support/ScriptedServer.h>

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

/// Requests that are refused before their body was read.
class UnreadBodyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadBodyTest);
    CPPUNIT_TEST(refusalIsReadAfterTheWholeBodyWasSent);
    CPPUNIT_TEST(refusedCallerIsNotAskedToContinue);
    CPPUNIT_TEST(admittedCallerIsAskedToContinue);
    CPPUNIT_TEST(connectionStaysIfTheBodyArrivedWithItsHead);
    CPPUNIT_TEST(pipelinedResponsesKeepTheirOrder);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t BodyBytes = 4'000'000;

    ScriptedServer m_server{[](const ReceivedRequest &request, int) -> ScriptedResponse {
        const auto body = request.field("X-Request-Id") + " " + std::to_string(request.body.size());
        return {fmt::format("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: {}\r\n"
                            "Content-Length: {}\r\n\r\n{}",
            request.field("X-Request-Id"), body.size(), body)};
    }};
    RouterHarness m_router{makeRoute(), {m_server.address()}};

    static Forwarding::Route makeRoute()
    {
        Forwarding::Route route;
        route.timeout = Base::Milliseconds(5'000);
        return route;
    }

    static void sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    }

    /// A request whose path has no route.
    static std::string headWithoutRoute(const std::string &fields)
    {
        return "POST /none HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n" + fields + "\r\n";
    }

public:
    /// Guards against a reset that destroys the response while the caller still sends.
    void refusalIsReadAfterTheWholeBodyWasSent()
    {
        auto socket = m_router.connect();
        sendAll(socket, headWithoutRoute(fmt::format("Content-Length: {}\r\n", BodyBytes)));
        sendAll(socket, std::string(BodyBytes, 'x'));
        const auto response = RouterHarness::readResponse(socket);
        CPPUNIT_ASSERT_EQUAL(404, response.status);
        CPPUNIT_ASSERT(response.isComplete);
        CPPUNIT_ASSERT(m_server.requests().empty());
    }

    void refusedCallerIsNotAskedToContinue()
    {
        const auto response =
            m_router.call(headWithoutRoute("Content-Length: 9\r\nExpect: 100-continue\r\n"));
        CPPUNIT_ASSERT_EQUAL(404, response.status);
    }

    void admittedCallerIsAskedToContinue()
    {
        auto socket = m_router.connect();
        sendAll(socket,
            RouterHarness::makeRequest(
                "r", "Expect: 100-continue\r\nContent-Length: 5\r\n", "POST"));
        CPPUNIT_ASSERT_EQUAL(100, RouterHarness::readResponse(socket).status);
        sendAll(socket, "hello");
        const auto response = RouterHarness::readResponse(socket);
        CPPUNIT_ASSERT_EQUAL(std::string("r 5"), response.body);
    }

    /// Guards against a connection that is lost for a small body that nobody wants.
    void connectionStaysIfTheBodyArrivedWithItsHead()
    {
        auto socket = m_router.connect();
        sendAll(socket, headWithoutRoute("Content-Length: 5\r\n") + "hello");
        CPPUNIT_ASSERT_EQUAL(404, RouterHarness::readResponse(socket).status);
        sendAll(socket, RouterHarness::makeRequest("next"));
        CPPUNIT_ASSERT_EQUAL(std::string("next 0"), RouterHarness::readResponse(socket).body);
    }

    /// Guards against bytes of a pipelined request that are read too early or left unread: there
    /// are more than are received ahead of a request that is handled.
    void pipelinedResponsesKeepTheirOrder()
    {
        constexpr int Count = 200;
        std::string bytes;
        for (int n = 0; n < Count; ++n) {
            bytes +=
                RouterHarness::makeRequest(std::to_string(n), {}, "POST", std::string(99, 'x'));
        }
        auto socket = m_router.connect();
        sendAll(socket, bytes);
        std::string received;
        std::array<char, 4'096> buf{};
        const auto last = std::to_string(Count - 1) + " 99";
        while (!received.ends_with(last)) {
            const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            CPPUNIT_ASSERT(n > 0);
            received.append(buf.data(), static_cast<std::size_t>(n));
        }
        std::size_t at = 0;
        for (int n = 0; n < Count; ++n) {
            at = received.find(fmt::format("\r\n\r\n{} 99", n), at);
            CPPUNIT_ASSERT(at != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadBodyTest);

} // namespace Carawaykeel::Tests
