#include <Carawaykeel/Control/OperatorClient.h>

#include <Support/BrokenResponses.h>
#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

Base::Outcome<Poco::JSON::Object::Ptr> get(const std::string &address)
{
    const Control::OperatorClient client(address, "key");
    return Base::toOutcome<Poco::JSON::Object::Ptr>([&] { return client.tryGet("/admin/fleet"); });
}

bool isUnreachable(const Base::Outcome<Poco::JSON::Object::Ptr> &outcome)
{
    const auto *failure = std::get_if<Base::Failure>(&outcome);
    return failure && failure->kind == Base::ErrorKind::InstanceUnreachable;
}

} // namespace

/// Calls to an instance whose answers are invalid or break off.
class OperatorClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorClientTest);
    CPPUNIT_TEST(invalidStatusIsNoAnswer);
    CPPUNIT_TEST(invalidHeadsAreNoAnswers);
    CPPUNIT_TEST(invalidInterimHeadsAreNoAnswers);
    CPPUNIT_TEST(invalidTrailersAreNoAnswers);
    CPPUNIT_TEST(truncatedAnswersAreNoAnswers);
    CPPUNIT_TEST(validAnswerIsRead);
    CPPUNIT_TEST_SUITE_END();

    static void checkNoAnswers(const std::vector<BrokenResponse> &responses)
    {
        ScriptedServer server([&](const ReceivedRequest &, int number) {
            return ScriptedResponse{responses.at(number - 1).bytes, ScriptedResponse::Then::Close};
        });
        std::string names;
        for (const auto &response : responses)
            names += isUnreachable(get(server.address())) ? "" : "\n" + response.name;
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
        CPPUNIT_ASSERT_EQUAL(responses.size(), server.requests().size());
    }

public:
    void invalidStatusIsNoAnswer() { checkNoAnswers(responsesWithInvalidStatus({"", "{}"})); }
    void invalidHeadsAreNoAnswers() { checkNoAnswers(responsesWithInvalidHead({"", "{}"})); }
    void invalidInterimHeadsAreNoAnswers()
    {
        checkNoAnswers(responsesWithInvalidInterimHead({"", "{}"}));
    }
    void invalidTrailersAreNoAnswers() { checkNoAnswers(responsesWithInvalidTrailer({"", "{}"})); }

    /// Guards against a part that happens to be a JSON object. Only an answer without a length is
    /// whole when its connection is closed.
    void truncatedAnswersAreNoAnswers()
    {
        for (const auto &response : partsOfEarlyResponses({"", "{}"})) {
            if (response.name.starts_with("''")
                && response.response.then != ScriptedResponse::Then::Reset)
                continue;
            ScriptedServer server([&](const ReceivedRequest &, int) { return response.response; });
            CPPUNIT_ASSERT_MESSAGE(response.name, isUnreachable(get(server.address())));
        }
    }

    void validAnswerIsRead()
    {
        ScriptedServer server([](const ReceivedRequest &, int) {
            return ScriptedResponse{"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                    "chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Y: v\r\n\r\n"};
        });
        CPPUNIT_ASSERT(std::holds_alternative<Poco::JSON::Object::Ptr>(get(server.address())));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorClientTest);

} // namespace Carawaykeel::Tests
