#include <Carawaykeel/Base/CancellableTimers.h>

#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace Carawaykeel::Tests {

/// Timers run in order, and cancelled ones do not run.
class CancellableTimersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CancellableTimersTest);
    CPPUNIT_TEST(timersRunInTheOrderOfTheirTimes);
    CPPUNIT_TEST(cancelledTimersAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void timersRunInTheOrderOfTheirTimes()
    {
        VirtualWorld world{1};
        WorldScheduler scheduler{world};
        Base::CancellableTimers timers(scheduler);
        std::string order;
        timers.add(Base::Milliseconds(300), [&] { order += "c"; });
        timers.add(Base::Milliseconds(100), [&] {
            order += "a";
            timers.add(Base::Milliseconds(100), [&] { order += "b"; });
        });
        const auto cancelled = timers.add(Base::Milliseconds(50), [&] { order += "x"; });
        timers.cancel(cancelled);
        world.run(Base::Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), order);
        world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
    }

    /// Guards against memory that each request occupies until its timeout would have been due.
    void cancelledTimersAreForgotten()
    {
        VirtualWorld world{1};
        WorldScheduler scheduler{world};
        Base::CancellableTimers timers(scheduler);
        const auto token = std::make_shared<int>();
        for (int n = 0; n < 1'000; ++n)
            timers.cancel(timers.add(Base::Milliseconds(15'000), [token] {}));
        CPPUNIT_ASSERT_EQUAL(1L, token.use_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancellableTimersTest);

} // namespace Carawaykeel::Tests
