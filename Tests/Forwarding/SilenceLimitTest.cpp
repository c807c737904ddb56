#include <Carawaykeel/Forwarding/SilenceLimit.h>

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
    route.objective = Base::Milliseconds(800);
    route.pauseObjective = Base::Milliseconds(500);
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
