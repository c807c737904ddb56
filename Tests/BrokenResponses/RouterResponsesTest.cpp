#include "WireCall.h"

#include <CallerCrowds/DaemonProcess.h>
#include <Support/BrokenResponses.h>
#include <Support/ScriptedServer.h>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <functional>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;

const std::string ServerBody = "data: from the server\n\n";

DaemonLimits roomForUploads()
{
    DaemonLimits limits;
    limits.memoryMegabytes = 88;
    return limits;
}

std::string fieldsFor(const ReceivedRequest &request)
{
    return fmt::format(
        "X-Request-Id: {}\r\nX-Server-Stamp: stamp\r\n", request.field("X-Request-Id"));
}

/// Returns the number that the request's path ends with.
std::size_t caseOf(const ReceivedRequest &request)
{
    const auto line = request.head.substr(0, request.head.find(" HTTP/"));
    return std::stoul(line.substr(line.rfind('/') + 1));
}

std::string requestTo(const std::string &path, const std::string &body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-{}\r\n"
                       "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
        path, std::hash<std::string>()(path), body.size(), body);
}

constexpr std::chrono::milliseconds RetryDelay{20};
constexpr int MaxRetries = 500;

/// Waits until the daemon sends requests on: until a request to `path` gets the status.
void waitForStatus(const DaemonProcess &daemon, const std::string &path, const std::string &status)
{
    const auto address = daemon.address(CallerAddress::Requests);
    for (int n = 0; n < MaxRetries; ++n) {
        if (callOnWire(address, requestTo(path, "request")).status() == status)
            return;
        std::this_thread::sleep_for(RetryDelay);
    }
}

} // namespace

/// Broken responses of a backend server to the daemon, as the caller receives them.
class RouterResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterResponsesTest);
    CPPUNIT_TEST(invalidStatusIsRefused);
    CPPUNIT_TEST(invalidNamesInHeadsAreRefused);
    CPPUNIT_TEST(invalidNamesInInterimHeadsAreRefused);
    CPPUNIT_TEST(invalidNamesInTrailersAreRefused);
    CPPUNIT_TEST(partsOfEarlyResponsesAreRefusals);
    CPPUNIT_TEST(partsOfEarlyStreamsAreNotComplete);
    CPPUNIT_TEST(wholeResponsesWithoutLengthAreServed);
    CPPUNIT_TEST_SUITE_END();

    using Catalog = std::vector<BrokenResponse> (*)(const ResponseContent &);

    /// Sends a request for each broken response to `route`. Returns the names of those that the
    /// caller received as an answer.
    static std::string unrefused(const std::string &route, Catalog catalog)
    {
        const auto cases = catalog({});
        ScriptedServer server([catalog](const ReceivedRequest &request, int) -> ScriptedResponse {
            const auto responses = catalog({fieldsFor(request), ServerBody});
            const auto n = caseOf(request);
            if (n < responses.size())
                return {responses[n].bytes, Then::Keep};
            return {fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                        fieldsFor(request), ServerBody.size(), ServerBody),
                Then::Keep};
        });
        ScriptedServer table(makeTableScript(server.address()));
        DaemonProcess daemon(roomForUploads(), table.address());
        const auto call = [&](std::size_t n) {
            return callOnWire(daemon.address(CallerAddress::Requests),
                requestTo(fmt::format("/{}/{}", route, n), "request"));
        };
        waitForStatus(daemon, fmt::format("/unsafe/{}", cases.size()), "200");
        std::string names;
        for (std::size_t n = 0; n < cases.size(); ++n) {
            const auto before = server.requests().size();
            const auto received = call(n);
            // A caller of a stream may have received a part when the response turns out broken.
            const bool isAborted =
                route == "stream" && received.status() == "200" && received.isReset;
            const bool isRefused = received.status() == "502" && !received.contains(ServerBody);
            if (!(isAborted || isRefused) || server.requests().size() != before + 1)
                names += fmt::format("\n{}: {}", cases[n].name, received.bytes.substr(0, 16));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("200"), call(cases.size()).status());
        return names;
    }

    /// Sends an upload for each early response to `route`. Returns the names of those that the
    /// caller received as a complete answer.
    static std::string unrefusedParts(const std::string &route, std::size_t uploadBytes)
    {
        const auto cases = partsOfEarlyResponses({});
        ScriptedServer server(
            [](const ReceivedRequest &request, int) {
                return partsOfEarlyResponses({fieldsFor(request), ServerBody})
                    .at(caseOf(request))
                    .response;
            },
            ScriptedServer::Reading::HeadOnly);
        ScriptedServer table(makeTableScript(server.address()));
        DaemonProcess daemon(roomForUploads(), table.address());
        waitForStatus(daemon, "/unsafe/8", "502");
        std::string names;
        const std::string upload(uploadBytes, 'u');
        for (std::size_t n = 0; n < cases.size(); ++n) {
            const auto before = server.requests().size();
            const auto received = callOnWire(daemon.address(CallerAddress::Requests),
                requestTo(fmt::format("/{}/{}", route, n), upload));
            const bool isAnswer = received.status() == "200" && !received.isReset
                && (route == "unsafe" || received.bytes.ends_with("\r\n0\r\n\r\n"));
            if (isAnswer || received.isOpen || server.requests().size() != before + 1) {
                names += fmt::format(
                    "\n{}, {} bytes: {}", cases[n].name, uploadBytes, received.bytes.substr(0, 16));
            }
        }
        return names;
    }

    static void checkRefused(Catalog catalog)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), unrefused("unsafe", catalog));
        CPPUNIT_ASSERT_EQUAL(std::string(), unrefused("stream", catalog));
    }

public:
    /// Guards against an invalid response that a caller gets as an answer, or as a body that is not
    /// the server's.
    void invalidStatusIsRefused() { checkRefused(responsesWithInvalidStatus); }
    void invalidNamesInHeadsAreRefused() { checkRefused(responsesWithInvalidHead); }
    void invalidNamesInInterimHeadsAreRefused() { checkRefused(responsesWithInvalidInterimHead); }
    void invalidNamesInTrailersAreRefused() { checkRefused(responsesWithInvalidTrailer); }

    /// Guards against a part of a response that a caller gets as a complete answer: the server
    /// ends the connection while the request is still being sent.
    void partsOfEarlyResponsesAreRefusals()
    {
        for (const std::size_t bytes : {300'000, 1'000'000, 4'000'000})
            CPPUNIT_ASSERT_EQUAL(std::string(), unrefusedParts("unsafe", bytes));
    }

    void partsOfEarlyStreamsAreNotComplete()
    {
        for (const std::size_t bytes : {300'000, 4'000'000})
            CPPUNIT_ASSERT_EQUAL(std::string(), unrefusedParts("stream", bytes));
    }

    /// A response without a length is whole if the server has read the request and closes in an
    /// orderly way, and is not if it resets.
    void wholeResponsesWithoutLengthAreServed()
    {
        ScriptedServer server([](const ReceivedRequest &request, int) -> ScriptedResponse {
            return {fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}", fieldsFor(request), ServerBody),
                caseOf(request) == 0 ? Then::Close : Then::Reset, {},
                std::chrono::milliseconds(50)};
        });
        ScriptedServer table(makeTableScript(server.address()));
        DaemonProcess daemon(roomForUploads(), table.address());
        const auto address = daemon.address(CallerAddress::Requests);
        waitForStatus(daemon, "/unsafe/0", "200");
        for (const std::size_t bytes : {10, 300'000, 4'000'000}) {
            const std::string upload(bytes, 'u');
            const auto whole = callOnWire(address, requestTo("/unsafe/0", upload));
            CPPUNIT_ASSERT_EQUAL(std::string("200"), whole.status());
            CPPUNIT_ASSERT(whole.bytes.ends_with(ServerBody) && !whole.isReset);
            const auto stream = callOnWire(address, requestTo("/stream/0", upload));
            CPPUNIT_ASSERT(stream.bytes.ends_with("\r\n0\r\n\r\n") && !stream.isReset);
            CPPUNIT_ASSERT_EQUAL(
                std::string("502"), callOnWire(address, requestTo("/unsafe/1", upload)).status());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterResponsesTest);

} // namespace Carawaykeel::Tests
