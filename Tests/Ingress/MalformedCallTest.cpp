#include <Support/RouterHarness.h>
#include <Support/RunningRouter.h>
#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

/// Sends an entry query and returns the response. With a delay the request arrives after its
/// connection.
CallerResponse queryEntry(
    const RunningRouter &router, const std::string &query, std::chrono::milliseconds delay)
{
    Poco::Net::StreamSocket connection{Poco::Net::SocketAddress(router.entryAddress())};
    connection.setReceiveTimeout(Poco::Timespan(5, 0));
    std::this_thread::sleep_for(delay);
    const auto bytes =
        fmt::format("GET /carawaykeel/resolve?{} HTTP/1.1\r\nHost: a.example\r\n\r\n", query);
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return RouterHarness::readResponse(connection);
}

} // namespace

/// Calls that cannot be decoded.
class MalformedCallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedCallTest);
    CPPUNIT_TEST(brokenEscapeInAnEntryQueryIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that end the process with a query that has a broken percent escape.
    void brokenEscapeInAnEntryQueryIsRejected()
    {
        ScriptedServer server([](const auto &, int) { return ScriptedResponse{}; });
        RunningRouter router(server.address());
        for (const auto delay : {0, 50}) {
            for (const auto *query : {"name=%zz", "name=a&zone=%", "%=%"}) {
                const auto response = queryEntry(router, query, std::chrono::milliseconds(delay));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(query, 400, response.status);
            }
        }
        CPPUNIT_ASSERT(!router.hasStopped());
        CPPUNIT_ASSERT(queryEntry(router, "name=a.example", {}).status > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedCallTest);

} // namespace Carawaykeel::Tests
