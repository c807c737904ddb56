#include <Carawaykeel/Transport/ConnectionUsage.h>

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>

namespace Carawaykeel::Tests {

using Base::InstanceName;
using Base::Milliseconds;

/// Which connections stay open in a fleet that is larger than their limit.
class ConnectionUsageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionUsageTest);
    CPPUNIT_TEST(leastRecentlyUsedIsClosedForANewOne);
    CPPUNIT_TEST(idleConnectionsAreClosed);
    CPPUNIT_TEST(messagesToAllMembersStayWithinTheLimit);
    CPPUNIT_TEST_SUITE_END();

    static InstanceName nameOf(int n) { return InstanceName(std::to_string(n)); }

public:
    void leastRecentlyUsedIsClosedForANewOne()
    {
        Transport::ConnectionUsage usage(2, Milliseconds(1'000));
        CPPUNIT_ASSERT(!usage.use(nameOf(1), Milliseconds(0)));
        CPPUNIT_ASSERT(!usage.use(nameOf(2), Milliseconds(1)));
        CPPUNIT_ASSERT(!usage.use(nameOf(1), Milliseconds(2)));
        CPPUNIT_ASSERT(usage.use(nameOf(3), Milliseconds(3)) == nameOf(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), usage.count());
    }

    void idleConnectionsAreClosed()
    {
        Transport::ConnectionUsage usage(10, Milliseconds(1'000));
        usage.use(nameOf(1), Milliseconds(0));
        usage.use(nameOf(2), Milliseconds(500));
        CPPUNIT_ASSERT(usage.takeIdle(Milliseconds(999)).empty());
        CPPUNIT_ASSERT(usage.takeIdle(Milliseconds(1'000)) == std::vector{nameOf(1)});
        CPPUNIT_ASSERT(usage.takeIdle(Milliseconds(1'500)) == std::vector{nameOf(2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usage.count());
    }

    /// Pattern: one instance has something to say to each of a few hundred others at once.
    void messagesToAllMembersStayWithinTheLimit()
    {
        for (const int members : {8, 81, 295, 415}) {
            Transport::ConnectionUsage usage(64, Milliseconds(1'000));
            std::set<InstanceName> open;
            for (int n = 0; n < members; ++n) {
                open.insert(nameOf(n));
                if (const auto closed = usage.use(nameOf(n), Milliseconds(n)))
                    open.erase(*closed);
                CPPUNIT_ASSERT(open.size() <= 64);
                CPPUNIT_ASSERT_EQUAL(open.size(), usage.count());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionUsageTest);

} // namespace Carawaykeel::Tests
