#include "FleetProcesses.h"

#include <Support/BrokenResponses.h>
#include <Support/NeighbourInstance.h>
#include <Support/ScriptedServer.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;

/// Exit code of the operators' tool if the instance or the platform cannot be reached.
constexpr int ExitUnreachable = 4;
constexpr int MaxDeclarations = 10;

std::vector<EarlyResponse> brokenReplies(const std::string &body)
{
    std::vector<EarlyResponse> replies;
    for (const auto &response : selectedBrokenResponses({"", body}))
        replies.push_back({response.name, {response.bytes, Then::Close}});
    for (const auto &response : partsOfEarlyResponses({"", body})) {
        if (response.response.then == Then::Reset)
            replies.push_back(response);
    }
    return replies;
}

std::string reply(const std::string &body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// An empty table that replies to each commit with `commitReply`.
ScriptedResponse respondAsEmptyTable(
    const ReceivedRequest &request, const ScriptedResponse &commitReply)
{
    if (request.head.starts_with("POST /table/commit"))
        return commitReply;
    if (request.head.starts_with("GET /vms"))
        return {reply(R"({"vms":[]})")};
    std::string rows;
    if (request.head.starts_with("POST /table/read")) {
        Poco::JSON::Parser parser;
        const auto keys =
            parser.parse(request.body).extract<Poco::JSON::Object::Ptr>()->getArray("keys");
        for (std::size_t n = 0; n < keys->size(); ++n)
            rows += n == 0 ? "null" : ",null";
    }
    return {reply(fmt::format(R"({{"rows":[{}]}})", rows))};
}

} // namespace

/// Broken answers of an instance to the operators' tool, and of the platform to an instance, as the
/// operator sees them.
class ControlToolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlToolTest);
    CPPUNIT_TEST(brokenAnswersOfAnInstanceAreReported);
    CPPUNIT_TEST(brokenRepliesOfThePlatformAreNoCommits);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenAnswersOfAnInstanceAreReported()
    {
        const std::string answer = R"({"version":1,"members":[],"document":"{}","budgets":[]})";
        std::atomic<std::size_t> current = 0;
        const auto cases = brokenReplies(answer);
        ScriptedServer instance(
            [&](const ReceivedRequest &, int) { return cases.at(current).response; });
        const auto folder = makeTemporaryFolder();
        const auto keyFile = folder + "/key";
        std::ofstream(keyFile) << "key-of-all-interfaces";
        std::string names;
        for (std::size_t n = 0; n < cases.size(); ++n) {
            current = n;
            const auto code = runControlTool(instance.address(), keyFile, {"budgets"});
            if (code != ExitUnreachable)
                names += fmt::format("\n{}: {}", cases[n].name, code);
        }
        std::filesystem::remove_all(folder);
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
        CPPUNIT_ASSERT_EQUAL(cases.size(), instance.requests().size());
    }

    /// Guards against a declaration that is reported as applied although the table service did not
    /// acknowledge it.
    void brokenRepliesOfThePlatformAreNoCommits()
    {
        const auto cases = brokenReplies(R"({"version":7})");
        std::atomic<std::size_t> commits = 0;
        ScriptedServer platform([&](const ReceivedRequest &request, int) {
            const bool isCommit = request.head.starts_with("POST /table/commit");
            const auto n = isCommit ? commits++ : 0;
            return respondAsEmptyTable(request, cases.at(n % cases.size()).response);
        });
        FleetProcesses fleet(platform.address(), makeLoopbackAddress(), makeLoopbackAddress());
        // The instance repeats the commit until the tool gives up.
        for (int n = 0; n < MaxDeclarations && commits < cases.size(); ++n)
            CPPUNIT_ASSERT_EQUAL(ExitUnreachable, fleet.declare("first"));
        CPPUNIT_ASSERT(commits >= cases.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlToolTest);

} // namespace Carawaykeel::Tests
