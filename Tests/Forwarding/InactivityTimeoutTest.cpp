#include <Carawaykeel/Forwarding/InactivityTimeout.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

/// The longest prompt in use and the time that an engine takes to process it without other load.
constexpr Base::Tokens LongestPrompt(54'600);
constexpr Base::Milliseconds LongestProcessingTime(1'650);

Forwarding::Route makeStreamRoute()
{
    Forwarding::Route route;
    route.kind = Forwarding::RouteKind::Stream;
    route.latencyObjective = Base::Milliseconds(800);
    route.eventGapObjective = Base::Milliseconds(500);
    return route;
}

} // namespace

/// Checks when an attempt at an unresponsive server is cancelled.
class InactivityTimeoutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InactivityTimeoutTest);
    CPPUNIT_TEST(timeoutIncludesPromptProcessing);
    CPPUNIT_TEST(timeoutIsShortAfterPromptProcessing);
    CPPUNIT_TEST(timeoutOfPlainRequestFollowsObjective);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A prompt takes longer to process than the latency objective. The timeout must not cancel the
    /// attempt and have another server process the prompt again.
    void timeoutIncludesPromptProcessing()
    {
        CPPUNIT_ASSERT(Forwarding::inactivityTimeout(makeStreamRoute(), LongestPrompt)
            > LongestProcessingTime * 2);
    }

    void timeoutIsShortAfterPromptProcessing()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'000),
            Forwarding::inactivityTimeout(makeStreamRoute(), Base::Tokens()).count());
    }

    void timeoutOfPlainRequestFollowsObjective()
    {
        Forwarding::Route route;
        route.latencyObjective = Base::Milliseconds(200);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(600), Forwarding::inactivityTimeout(route, Base::Tokens()).count());
        route.latencyObjective = Base::Milliseconds(10);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(300), Forwarding::inactivityTimeout(route, Base::Tokens()).count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InactivityTimeoutTest);

} // namespace Carawaykeel::Tests
