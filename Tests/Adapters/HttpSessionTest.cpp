#include <Carawaykeel/Adapters/HttpSession.h>

#include <Support/BrokenResponses.h>
#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

constexpr Base::Milliseconds Timeout{300};

std::optional<Adapters::HttpReply> call(Adapters::HttpSession &session, const std::string &body)
{
    Poco::Net::HTTPRequest request("POST", "/", Poco::Net::HTTPMessage::HTTP_1_1);
    return session.tryExchange(request, body, Timeout);
}

} // namespace

/// Calls to a platform service whose replies are invalid or break off.
class HttpSessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpSessionTest);
    CPPUNIT_TEST(invalidStatusIsNoReply);
    CPPUNIT_TEST(invalidHeadsAreNoReplies);
    CPPUNIT_TEST(invalidInterimHeadsAreNoReplies);
    CPPUNIT_TEST(invalidTrailersAreNoReplies);
    CPPUNIT_TEST(partsOfEarlyRepliesAreNoReplies);
    CPPUNIT_TEST(truncatedRepliesAreNoReplies);
    CPPUNIT_TEST(connectionIsReused);
    CPPUNIT_TEST_SUITE_END();

    static void checkNoReplies(const std::vector<BrokenResponse> &responses)
    {
        ScriptedServer server([&](const ReceivedRequest &, int number) {
            return ScriptedResponse{responses.at(number - 1).bytes};
        });
        Adapters::HttpSession session(server.address());
        std::string names;
        for (const auto &response : responses)
            names += call(session, "{}") ? "\n" + response.name : "";
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
        CPPUNIT_ASSERT_EQUAL(responses.size(), server.requests().size());
    }

public:
    void invalidStatusIsNoReply() { checkNoReplies(responsesWithInvalidStatus({"", "{}"})); }
    void invalidHeadsAreNoReplies() { checkNoReplies(responsesWithInvalidHead({"", "{}"})); }
    void invalidInterimHeadsAreNoReplies()
    {
        checkNoReplies(responsesWithInvalidInterimHead({"", "{}"}));
    }
    void invalidTrailersAreNoReplies() { checkNoReplies(responsesWithInvalidTrailer({"", "{}"})); }

    void partsOfEarlyRepliesAreNoReplies()
    {
        const auto responses = partsOfEarlyResponses({"", "{}"});
        ScriptedServer server(
            [&](const ReceivedRequest &, int number) { return responses.at(number - 1).response; },
            ScriptedServer::Reading::HeadOnly);
        Adapters::HttpSession session(server.address());
        std::string names;
        for (const auto &response : responses)
            names += call(session, std::string(4'000'000, 'u')) ? "\n" + response.name : "";
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
    }

    /// As above after the whole call was received; only a reply without a length is whole when its
    /// connection is closed.
    void truncatedRepliesAreNoReplies()
    {
        const auto responses = partsOfEarlyResponses({"", "{}"});
        ScriptedServer server(
            [&](const ReceivedRequest &, int number) { return responses.at(number - 1).response; });
        Adapters::HttpSession session(server.address());
        std::string names;
        for (const auto &response : responses) {
            const bool isWhole = response.name.starts_with("''")
                && (response.response.then == ScriptedResponse::Then::Close
                    || response.response.then == ScriptedResponse::Then::HalfClose);
            const bool isReply = call(session, "{}").has_value();
            const bool mayVary = response.name.starts_with("''")
                && response.response.then == ScriptedResponse::Then::HalfCloseThenReset;
            names += isReply != isWhole && !mayVary ? "\n" + response.name : "";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
    }

    void connectionIsReused()
    {
        ScriptedServer server([](const ReceivedRequest &request, int number) {
            const bool isLast = number % 2 == 0;
            return ScriptedResponse{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + request.body,
                isLast ? ScriptedResponse::Then::Close : ScriptedResponse::Then::Keep};
        });
        Adapters::HttpSession session(server.address());
        for (const auto *body : {"one", "two"})
            CPPUNIT_ASSERT_EQUAL(std::string(body), call(session, body)->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpSessionTest);

} // namespace Carawaykeel::Tests
