#include <Carawaykeel/Forwarding/InactivityTimeout.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

/// The users' longest prompt and what an engine takes to read it alone.
constexpr Base::Tokens LongestPrompt(54'600);
constexpr Base::Milliseconds LongestReading(1'650);

Forwarding::Route streamRoute()
{
    Forwarding::Route route;
    route.kind = Forwarding::RouteKind::Stream;
    route.latencyObjective = Base::Milliseconds(800);
    route.eventGapObjective = Base::Milliseconds(500);
    return route;
}

} // namespace

/// When a silent server is given up.
class SilenceLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilenceLimitTest);
    CPPUNIT_TEST(longPromptIsGivenTheTimeToBeRead);
    CPPUNIT_TEST(pauseAfterReadingIsShort);
    CPPUNIT_TEST(plainRequestIsWaitedForByItsObjective);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Pattern: a prompt takes longer to read than the objective. It must not be read twice.
    void longPromptIsGivenTheTimeToBeRead()
    {
        CPPUNIT_ASSERT(
            Forwarding::inactivityTimeout(streamRoute(), LongestPrompt) > LongestReading * 2);
    }

    void pauseAfterReadingIsShort()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'000),
            Forwarding::inactivityTimeout(streamRoute(), Base::Tokens()).count());
    }

    void plainRequestIsWaitedForByItsObjective()
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

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceLimitTest);

} // namespace Carawaykeel::Tests
