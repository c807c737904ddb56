#include "WireCall.h"

#include <CallerCrowds/DaemonProcess.h>
#include <Support/BrokenResponses.h>
#include <Support/ScriptedServer.h>
#include <platform/WireNames.h>

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;

/// Reads of the table after which a daemon that believes a reply would have applied it.
constexpr int EnoughReads = 6;
constexpr int MaxPolls = 500;
constexpr std::chrono::milliseconds PollDelay{20};

/// Returns what the table sends in the place of its reply with the body.
std::vector<EarlyResponse> brokenReplies(const std::string &body)
{
    std::vector<EarlyResponse> replies;
    for (const auto &response : selectedBrokenResponses({"", body}))
        replies.push_back({response.name, {response.bytes, Then::Keep}});
    for (const auto &response : partsOfEarlyResponses({"", body})) {
        const bool hasNoLength = response.name.starts_with("''");
        if (hasNoLength ? response.response.then == Then::Reset
                        : response.response.then == Then::Close)
            replies.push_back(response);
    }
    return replies;
}

std::string ordinaryRequest()
{
    return "POST /unsafe/small HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ordinary\r\n"
           "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
}

} // namespace

/// Broken replies of the table service to the daemon: what they hold is not applied.
class TableResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TableResponsesTest);
    CPPUNIT_TEST(brokenRepliesAreNotApplied);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenRepliesAreNotApplied()
    {
        ScriptedServer server([](const ReceivedRequest &request, int) -> ScriptedResponse {
            return {fmt::format("HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: {}\r\n"
                                "Content-Length: 2\r\n\r\nok",
                request.field("X-Request-Id"))};
        });
        const auto validReply = makeTableScript(server.address());
        const auto count = brokenReplies("").size();
        std::string names;
        for (std::size_t n = 0; n < count; ++n) {
            std::atomic<bool> isBroken = true;
            std::atomic<int> reads = 0;
            ScriptedServer table(
                [&](const ReceivedRequest &request, int number) -> ScriptedResponse {
                    ++reads;
                    const auto reply = validReply(request, number);
                    if (!isBroken)
                        return reply;
                    const auto body = reply.bytes.substr(reply.bytes.find("\r\n\r\n") + 4);
                    return brokenReplies(body).at(n).response;
                });
            DaemonProcess daemon(DaemonLimits(), table.address());
            for (int k = 0; k < MaxPolls && reads < EnoughReads; ++k)
                std::this_thread::sleep_for(PollDelay);
            const auto received =
                callOnWire(daemon.address(CallerAddress::Requests), ordinaryRequest());
            const bool isRefusal = received.status() == "404" || received.status() == "503";
            if (!isRefusal || reads < EnoughReads)
                names += fmt::format("\n{}: {}", brokenReplies("")[n].name, received.status());
            isBroken = false;
            CPPUNIT_ASSERT(daemon.waitUntilReady());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableResponsesTest);

} // namespace Carawaykeel::Tests
