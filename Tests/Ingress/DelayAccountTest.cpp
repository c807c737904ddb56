#include <Carawaykeel/Ingress/DelayAccount.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

/// Delays of an instance's processor and link.
class DelayAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DelayAccountTest);
    CPPUNIT_TEST(processorIsAsLateAsItsTimer);
    CPPUNIT_TEST(linkDrainsAtItsRate);
    CPPUNIT_TEST(busyCallerOnASlowLinkIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    using Milliseconds = Base::Milliseconds;
    Ingress::DelayAccount account;

    /// Guards against requests that are sent on after they waited unread for their caller's time.
    void processorIsAsLateAsItsTimer()
    {
        CPPUNIT_ASSERT(account.delay(Milliseconds(5'000)) == Milliseconds());
        account.onTick(Milliseconds(1'000));
        account.onTick(Milliseconds(1'110));
        CPPUNIT_ASSERT(account.delay(Milliseconds(1'200)) == Milliseconds());
        // The delay shows while the reactor is still busy.
        CPPUNIT_ASSERT(account.delay(Milliseconds(1'910)) == Milliseconds(700));
        account.onTick(Milliseconds(2'010));
        CPPUNIT_ASSERT(account.delay(Milliseconds(2'050)) == Milliseconds(800));
        account.onTick(Milliseconds(2'110));
        CPPUNIT_ASSERT(account.delay(Milliseconds(2'150)) == Milliseconds());
    }

    /// Guards against requests that wait in the buffers of a full link, and against an unknown
    /// bandwidth that counts as none.
    void linkDrainsAtItsRate()
    {
        account.onBytesSent(1'000'000, Milliseconds(1'000));
        CPPUNIT_ASSERT(account.delay(Milliseconds(1'000)) == Milliseconds());
        account.setLinkRate(10);
        account.onBytesSent(1'250'000, Milliseconds(2'000));
        CPPUNIT_ASSERT(account.delay(Milliseconds(2'000)) == Milliseconds(1'000));
        CPPUNIT_ASSERT(account.delay(Milliseconds(2'600)) == Milliseconds(400));
        account.onBytesSent(125'000, Milliseconds(2'600));
        CPPUNIT_ASSERT(account.delay(Milliseconds(2'600)) == Milliseconds(500));
        CPPUNIT_ASSERT(account.delay(Milliseconds(4'000)) == Milliseconds());
    }

    /// Guards against requests that wait for seconds in the buffers of a slow link and reach their
    /// servers long after their caller has left.
    void busyCallerOnASlowLinkIsRejected()
    {
        constexpr std::size_t RequestBytes = 50'000;
        account.setLinkRate(10);
        int sent = 0;
        Milliseconds longestDelay{};
        // Twice what the link carries, for five seconds.
        for (Milliseconds now(1'000); now < Milliseconds(6'000); now += Milliseconds(20)) {
            if (!account.canSend(Milliseconds(12'000), now))
                continue;
            account.onBytesSent(RequestBytes, now);
            longestDelay = std::max(longestDelay, account.linkDelay(now));
            ++sent;
        }
        CPPUNIT_ASSERT(longestDelay <= Milliseconds(440));
        // The link stays in full use: five seconds and what waits at the end.
        CPPUNIT_ASSERT(sent >= 125);
        CPPUNIT_ASSERT(!account.canSend(Milliseconds(), Milliseconds(9'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelayAccountTest);

} // namespace Carawaykeel::Tests
