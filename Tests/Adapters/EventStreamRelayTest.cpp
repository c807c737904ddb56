#include <Carawaykeel/Adapters/EventStreamRelay.h>

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace Carawaykeel::Tests {

namespace {

std::string chunk(const std::string &id, const std::string &text)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[{\"delta\":{\"content\":\"" + text
        + "\"}}]}\n\n";
}

const std::string Usage = "data: {\"id\":\"a\",\"choices\":[],\"usage\":{\"total_tokens\":7}}\n\n";
const std::string Done = "data: [DONE]\n\n";

struct Relayed
{
    Adapters::RelayResult result;
    std::string forwarded;
};

Relayed relay(const std::string &from, std::int64_t limit = 100, bool includeUsage = false)
{
    std::istringstream in(from);
    std::ostringstream out;
    auto result =
        Adapters::EventStreamRelay(in, out, Base::Tokens(limit), includeUsage, 10'000).run();
    return {std::move(result), out.str()};
}

} // namespace

/// A caller must receive its own complete response or an indication that the response is
/// incomplete.
class EventStreamRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamRelayTest);
    CPPUNIT_TEST(completeStreamWithholdsEndMarker);
    CPPUNIT_TEST(usageIsForwardedOnlyOnRequest);
    CPPUNIT_TEST(streamWithoutEndMarkerIsTruncated);
    CPPUNIT_TEST(partialEventIsNotForwarded);
    CPPUNIT_TEST(eventOfAnotherResponseIsMismatch);
    CPPUNIT_TEST(streamOverTheLimitIsStopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeStreamWithholdsEndMarker()
    {
        const auto relayed = relay(chunk("a", "x") + Usage + Done);
        CPPUNIT_ASSERT(relayed.result.outcome == Adapters::RelayOutcome::Complete);
        CPPUNIT_ASSERT_EQUAL(chunk("a", "x"), relayed.forwarded);
        CPPUNIT_ASSERT(relayed.result.usage == Base::Tokens(7));
    }

    void usageIsForwardedOnlyOnRequest()
    {
        CPPUNIT_ASSERT_EQUAL(
            chunk("a", "x") + Usage, relay(chunk("a", "x") + Usage + Done, 100, true).forwarded);
    }

    void streamWithoutEndMarkerIsTruncated()
    {
        CPPUNIT_ASSERT(relay(chunk("a", "x")).result.outcome == Adapters::RelayOutcome::Truncated);
        CPPUNIT_ASSERT(relay("").result.outcome == Adapters::RelayOutcome::Truncated);
    }

    void partialEventIsNotForwarded()
    {
        const auto relayed = relay(chunk("a", "x") + "data: {\"id\":\"a\",\"choi");
        CPPUNIT_ASSERT(relayed.result.outcome == Adapters::RelayOutcome::Truncated);
        CPPUNIT_ASSERT_EQUAL(chunk("a", "x"), relayed.forwarded);
    }

    void eventOfAnotherResponseIsMismatch()
    {
        const auto relayed = relay(chunk("a", "x") + chunk("b", "secret") + Done);
        CPPUNIT_ASSERT(relayed.result.outcome == Adapters::RelayOutcome::Mismatch);
        CPPUNIT_ASSERT(relayed.forwarded.find("secret") == std::string::npos);
    }

    void streamOverTheLimitIsStopped()
    {
        std::string events;
        for (int n = 0; n < 10; ++n)
            events += chunk("a", "x");
        CPPUNIT_ASSERT(
            relay(events + Done, 5).result.outcome == Adapters::RelayOutcome::LimitExceeded);
        CPPUNIT_ASSERT(relay(events + Done, 10).result.outcome == Adapters::RelayOutcome::Complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamRelayTest);

} // namespace Carawaykeel::Tests
