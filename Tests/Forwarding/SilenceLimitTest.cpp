#include <Carawaykeel/Forwarding/SilenceLimit.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

/// The longest prompt in use and the time that an engine takes to process it without other load.
constexpr Base::Tokens LongestPrompt(54'600);
constexpr Base::Milliseconds LongestReading(1'650);

Forwarding::Route streamRoute()
{
    Forwarding::Route route;
    route.kind = Forwarding::RouteKind::Stream;
    route.objective = Base::Milliseconds(800);
    route.pauseObjective = Base::Milliseconds(500);
    return route;
}

} // namespace

/// Checks when an attempt at an unresponsive server is cancelled.
class SilenceLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilenceLimitTest);
    CPPUNIT_TEST(longPromptIsGivenTheTimeToBeRead);
    CPPUNIT_TEST(pauseAfterReadingIsShort);
    CPPUNIT_TEST(plainRequestIsWaitedForByItsObjective);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A prompt takes longer to process than the latency objective. The timeout must not cancel the
    /// attempt and have another server process the prompt again.
    void longPromptIsGivenTheTimeToBeRead()
    {
        CPPUNIT_ASSERT(Forwarding::silenceLimit(streamRoute(), LongestPrompt) > LongestReading * 2);
    }

    void pauseAfterReadingIsShort()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1'000), Forwarding::silenceLimit(streamRoute(), Base::Tokens()).count());
    }

    void plainRequestIsWaitedForByItsObjective()
    {
        Forwarding::Route route;
        route.objective = Base::Milliseconds(200);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(600), Forwarding::silenceLimit(route, Base::Tokens()).count());
        route.objective = Base::Milliseconds(10);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(300), Forwarding::silenceLimit(route, Base::Tokens()).count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceLimitTest);

} // namespace Carawaykeel::Tests
