#include <platform/PlatformDialect.h>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <variant>

namespace Carawaykeel::Tests {

namespace {

Base::Outcome<Forwarding::RequestMetadata> readRequest(
    const std::string &field, const std::string &value)
{
    Poco::Net::HTTPRequest head;
    head.set(field, value);
    return Base::toOutcome<Forwarding::RequestMetadata>(
        [&] { return CarawaykeelPlatform::PlatformDialect().tryReadRequest(head); });
}

} // namespace

/// Header fields with numbers out of range.
class DialectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DialectTest);
    CPPUNIT_TEST(tokenCountsThatOverflowAreRejected);
    CPPUNIT_TEST(promptPartsThatOverflowEndTheList);
    CPPUNIT_TEST(longIdleTimeoutIsBounded);
    CPPUNIT_TEST(loadReportsHaveThreeOrFourFigures);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request whose tokens add up to a negative number, so that it costs nothing.
    void tokenCountsThatOverflowAreRejected()
    {
        for (const auto *counts : {"9223372036854775807,1", "1,9223372036854775807",
                 "5000000000000000000,5000000000000000000", "-1,5", "5", "5,6,7"}) {
            const auto outcome = readRequest("X-Token-Counts", counts);
            const auto *failure = std::get_if<Base::Failure>(&outcome);
            CPPUNIT_ASSERT_MESSAGE(counts, failure);
            CPPUNIT_ASSERT(failure->kind == Base::ErrorKind::MalformedRequest);
        }
        const auto outcome = readRequest("X-Token-Counts", "1460,80");
        const auto &metadata = std::get<Forwarding::RequestMetadata>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'460), metadata.promptTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), metadata.maxResponseTokens.count());
    }

    void promptPartsThatOverflowEndTheList()
    {
        const auto outcome = readRequest("X-Prompt-Prefix", "aa:5,bb:9223372036854775807,cc:7");
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), std::get<Forwarding::RequestMetadata>(outcome).promptParts.size());
    }

    void longIdleTimeoutIsBounded()
    {
        Poco::Net::HTTPResponse head;
        head.set("Keep-Alive", "timeout=9223372036854775807");
        const auto metadata = CarawaykeelPlatform::PlatformDialect().readResponse(head);
        CPPUNIT_ASSERT(metadata.idleTimeout > Base::Milliseconds());
    }

    /// Guards against dropping the whole report of a server that adds its work time.
    void loadReportsHaveThreeOrFourFigures()
    {
        const auto read = [](const std::string &text) {
            Poco::Net::HTTPResponse head;
            head.set("X-Server-Load", text);
            return CarawaykeelPlatform::PlatformDialect().readResponse(head).reportedLoad;
        };
        const auto usual = read("3, 2, 16");
        CPPUNIT_ASSERT(usual && usual->running == 3 && usual->waiting == 2 && usual->slots == 16);
        CPPUNIT_ASSERT(!usual->workTimePercent);
        const auto slow = read("3,2,16,250");
        CPPUNIT_ASSERT(slow && slow->running == 3 && slow->waiting == 2 && slow->slots == 16);
        CPPUNIT_ASSERT_EQUAL(250, slow->workTimePercent.value());
        for (const auto *text : {"", "3,2", "3,2,16,,", "3,2,16,x", "3,2,16,0", "3,2,16,-5",
                 "3,2,16,99999999999", "3,2,16,100,5"})
            CPPUNIT_ASSERT_MESSAGE(text, !read(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DialectTest);

} // namespace Carawaykeel::Tests
