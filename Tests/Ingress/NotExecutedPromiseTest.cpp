#include <Support/RouterHarness.h>
#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;

const std::string NotExecuted = "X-Not-Run: 1\r\n";

ScriptedServer::Script respondWith(int status, const std::string &fields = {})
{
    return [=](const ReceivedRequest &request, int) {
        return ScriptedResponse{
            fmt::format("HTTP/1.1 {} Any\r\nX-Request-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                        "{}Content-Length: 14\r\nKeep-Alive: timeout=5\r\n\r\nid: 1\ndata:x\n\n",
                status, request.field("X-Request-Id"), fields),
            Then::Keep};
    };
}

ScriptedResponse closeWithoutResponse(const ReceivedRequest &, int)
{
    return {"", Then::Close};
}

/// A route of each kind. A stream that may be resumed may also be sent again from the start.
std::vector<Forwarding::Route> routes()
{
    std::vector<Forwarding::Route> routes;
    for (const auto &[kind, canResume] :
        {std::pair(Forwarding::RouteKind::Safe, false), {Forwarding::RouteKind::Unsafe, false},
            {Forwarding::RouteKind::Stream, false}, {Forwarding::RouteKind::Stream, true}}) {
        Forwarding::Route route;
        route.kind = kind;
        route.canResume = canResume;
        route.maxAttempts = 2;
        route.timeout = Base::Milliseconds(1'500);
        routes.push_back(route);
    }
    return routes;
}

/// Sends one request on a route of each kind and checks the response.
void forEachRoute(const std::vector<ScriptedServer::Script> &scripts,
    const std::function<void(const CallerResponse &)> &check)
{
    for (const auto &route : routes()) {
        std::vector<std::unique_ptr<ScriptedServer>> servers;
        std::vector<std::string> addresses;
        for (const auto &script : scripts) {
            servers.push_back(std::make_unique<ScriptedServer>(script));
            addresses.push_back(servers.back()->address());
        }
        RouterHarness router(route, addresses);
        check(router.call(RouterHarness::makeRequest("1", {}, "POST", "body")));
    }
}

/// A failure of the router itself bears no stamp of a server, whose status it would change.
void checkOwnFailure(int status, const CallerResponse &response)
{
    CPPUNIT_ASSERT_EQUAL(status, response.status);
    CPPUNIT_ASSERT(response.head.find("X-Server-Stamp") == std::string::npos);
}

} // namespace

/// The statuses 408, 421, 429 and 503 tell a caller that its request was not executed and never
/// will be, so that it may send also a request again that must run only once.
class NotExecutedPromiseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NotExecutedPromiseTest);
    CPPUNIT_TEST(failureOfServerIsNoPromise);
    CPPUNIT_TEST(refusalOfServerIsAPromise);
    CPPUNIT_TEST(refusalAfterAnAttemptThatMayHaveRunIsNoPromise);
    CPPUNIT_TEST(failureAfterARefusalIsNoPromise);
    CPPUNIT_TEST(brokenRefusalIsNoPromise);
    CPPUNIT_TEST(successThatClaimsNotExecutedIsForwarded);
    CPPUNIT_TEST(otherFailuresAreForwardedUnchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that ran and failed being repeated by its caller, because the
    /// server's status was forwarded.
    void failureOfServerIsNoPromise()
    {
        for (const int status : {408, 429, 503}) {
            forEachRoute({respondWith(status)},
                [](const auto &response) { checkOwnFailure(502, response); });
        }
    }

    void refusalOfServerIsAPromise()
    {
        for (const int status : {400, 408, 421, 429, 503}) {
            forEachRoute({respondWith(status, NotExecuted)},
                [](const auto &response) { checkOwnFailure(503, response); });
        }
        // Another server than the one that was meant answers so.
        forEachRoute(
            {respondWith(421)}, [](const auto &response) { checkOwnFailure(503, response); });
    }

    /// Guards against a promise that holds for the last server only.
    void refusalAfterAnAttemptThatMayHaveRunIsNoPromise()
    {
        for (const auto &first : {ScriptedServer::Script(closeWithoutResponse), respondWith(503)}) {
            for (const auto &second : {respondWith(503, NotExecuted), respondWith(421)}) {
                forEachRoute(
                    {first, second}, [](const auto &response) { checkOwnFailure(502, response); });
            }
        }
    }

    void failureAfterARefusalIsNoPromise()
    {
        for (const int status : {408, 429, 503}) {
            forEachRoute({respondWith(503, NotExecuted), respondWith(status)},
                [](const auto &response) { checkOwnFailure(502, response); });
        }
    }

    /// A server that breaks off in its refusal may be one that the refusal does not come from.
    void brokenRefusalIsNoPromise()
    {
        const auto breakOff = [](const ReceivedRequest &request, int number) {
            auto response = respondWith(503, NotExecuted)(request, number);
            response.bytes.resize(response.bytes.size() - 4);
            response.then = Then::Close;
            return response;
        };
        forEachRoute({breakOff}, [](const auto &response) { checkOwnFailure(502, response); });
    }

    /// Guards against a success that is thrown away, or a request that is sent to another server
    /// after it ran: the field contradicts the response that it comes with.
    void successThatClaimsNotExecutedIsForwarded()
    {
        forEachRoute(
            {respondWith(200, NotExecuted), closeWithoutResponse}, [](const auto &response) {
                CPPUNIT_ASSERT_EQUAL(200, response.status);
                CPPUNIT_ASSERT(response.isComplete);
                CPPUNIT_ASSERT(response.body.find("data:x") != std::string::npos);
            });
    }

    void otherFailuresAreForwardedUnchanged()
    {
        for (const int status : {400, 404, 409, 500, 504}) {
            forEachRoute({respondWith(status)}, [status](const auto &response) {
                CPPUNIT_ASSERT_EQUAL(status, response.status);
                CPPUNIT_ASSERT(response.head.find("X-Server-Stamp: stamp") != std::string::npos);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotExecutedPromiseTest);

} // namespace Carawaykeel::Tests
