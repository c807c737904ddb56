#include <Support/RouterHarness.h>
#include <Support/ScriptedServer.h>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <string>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;

std::string respond(const ReceivedRequest &request, int status, const std::string &fields)
{
    return fmt::format("HTTP/1.1 {} Any\r\nX-Request-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                       "{}Content-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok",
        status, request.field("X-Request-Id"), fields);
}

ScriptedResponse respondNormally(const ReceivedRequest &request, int)
{
    return {respond(request, 200, ""), Then::Keep};
}

/// A server that responds to each request with a status and header fields.
ScriptedServer::Script respondWith(int status, const std::string &fields)
{
    return [=](const ReceivedRequest &request, int) {
        return ScriptedResponse{respond(request, status, fields), Then::Keep};
    };
}

Forwarding::Route makeRoute()
{
    Forwarding::Route route;
    route.kind = Forwarding::RouteKind::Safe;
    route.maxAttempts = 2;
    route.timeout = Base::Milliseconds(1'500);
    return route;
}

/// Sends requests one after the other.
void sendRequests(RouterHarness &router, int count)
{
    for (int n = 0; n < count; ++n)
        router.call(RouterHarness::makeRequest(std::to_string(n)));
}

} // namespace

/// Servers that say in their responses that they take no requests for now.
class ServerRestrictionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerRestrictionTest);
    CPPUNIT_TEST(serverThatSaysItLeavesGetsNoRequest);
    CPPUNIT_TEST(serverThatPausesGetsNoRequestUntilItsEnd);
    CPPUNIT_TEST(callersComeBackWhenAllServersPause);
    CPPUNIT_TEST(callersComeBackWhenAllServersAreCold);
    CPPUNIT_TEST(serverThatSaysItIsColdGetsNoFurtherRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to a server that has said in a response that it leaves.
    void serverThatSaysItLeavesGetsNoRequest()
    {
        for (const int status : {200, 404, 500}) {
            ScriptedServer leaving(respondWith(status, "Server-Leaving: 1\r\n"));
            ScriptedServer other(respondNormally);
            RouterHarness router(makeRoute(), {leaving.address(), other.address()});
            sendRequests(router, 5);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), leaving.requests().size());
        }
    }

    /// Guards against requests to a server within the time for which it wants none.
    void serverThatPausesGetsNoRequestUntilItsEnd()
    {
        ScriptedServer pausing([](const ReceivedRequest &request, int number) {
            return ScriptedResponse{number == 1
                    ? respond(request, 503, "X-Not-Run: 1\r\nRetry-After: 1\r\n")
                    : respond(request, 200, ""),
                Then::Keep};
        });
        ScriptedServer other(respondNormally);
        RouterHarness router(makeRoute(), {pausing.address(), other.address()});
        sendRequests(router, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pausing.requests().size());
        std::this_thread::sleep_for(std::chrono::milliseconds(1'050));
        sendRequests(router, 20);
        CPPUNIT_ASSERT(pausing.requests().size() > 1);
    }

    /// Requests that no server takes are rejected at once, with the time after which one does.
    void callersComeBackWhenAllServersPause()
    {
        ScriptedServer pausing(respondWith(503, "X-Not-Run: 1\r\nRetry-After: 4\r\n"));
        RouterHarness router(makeRoute(), {pausing.address()});
        for (int n = 0; n < 5; ++n) {
            const auto response = router.call(RouterHarness::makeRequest(std::to_string(n)));
            CPPUNIT_ASSERT_EQUAL(503, response.status);
            const auto at = response.head.find("Retry-After: ");
            CPPUNIT_ASSERT(at != std::string::npos);
            const auto seconds =
                std::stod(response.head.substr(at + std::string("Retry-After: ").size()));
            CPPUNIT_ASSERT(seconds > 3 && seconds < 8);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pausing.requests().size());
    }

    /// A request that waited for room would hold its caller for the whole cold time.
    void callersComeBackWhenAllServersAreCold()
    {
        ScriptedServer cold(respondNormally);
        RouterHarness router(makeRoute(), {cold.address()});
        router.makeCold(Base::Milliseconds(4'000));
        const auto response = router.call(RouterHarness::makeRequest("id"));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        const auto at = response.head.find("Retry-After: ");
        CPPUNIT_ASSERT(at != std::string::npos);
        const auto seconds =
            std::stod(response.head.substr(at + std::string("Retry-After: ").size()));
        CPPUNIT_ASSERT(seconds > 3 && seconds <= 6);
        CPPUNIT_ASSERT(cold.requests().empty());
    }

    /// The router knows before the server's next entry that it became cold.
    void serverThatSaysItIsColdGetsNoFurtherRequest()
    {
        ScriptedServer cold(respondWith(200, "X-Cold-Ms: 20000\r\n"));
        ScriptedServer warm(respondNormally);
        RouterHarness router(makeRoute(), {cold.address(), warm.address()});
        router.makeCold(Base::Milliseconds());
        sendRequests(router, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cold.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), warm.requests().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRestrictionTest);

} // namespace Carawaykeel::Tests
