#include <Carawaykeel/Forwarding/ServerPool.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr Base::Milliseconds Now(10'000);
constexpr Base::Milliseconds ColdTime(3'000);

Base::Milliseconds after(std::int64_t milliseconds)
{
    return Now + Base::Milliseconds(milliseconds);
}

Forwarding::ServerEntry makeEntry(int n, std::int64_t coldMilliseconds = 0)
{
    Forwarding::ServerEntry entry;
    entry.name = Base::ServerName("server-" + std::to_string(n));
    entry.service = Service;
    entry.address = "127.0.0.1:" + std::to_string(1'000 + n);
    entry.dataCentre = Base::DataCentre("dc-a");
    entry.slots = 64;
    entry.startedAt = 1;
    entry.remainingWarmUpTime = Base::Milliseconds(coldMilliseconds);
    entry.hasWarmUpTime = true;
    return entry;
}

std::shared_ptr<const Forwarding::RouterConfiguration> makeConfiguration(double requestsPerSecond)
{
    Forwarding::ServiceDefinition service;
    service.name = Service;
    service.coldTime = ColdTime;
    service.coldRequestsPerSecond = requestsPerSecond;
    return std::make_shared<const Forwarding::RouterConfiguration>(1,
        std::vector<Forwarding::Route>{}, std::vector<Forwarding::Team>{},
        std::vector<Forwarding::ServiceDefinition>{service}, Forwarding::CallerLimits());
}

} // namespace

/// Checks when servers count as cold and what they get then.
class ColdServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdServersTest);
    CPPUNIT_TEST(nothingChangesWithoutPolicyOrLimit);
    CPPUNIT_TEST(coldServerGetsNothingWhileAnotherIsWarm);
    CPPUNIT_TEST(coldServerGetsSpacedRequestsUnderAPermit);
    CPPUNIT_TEST(longestStatedTimeCounts);
    CPPUNIT_TEST(newerEntryEndsTheSuspicionOfAFailure);
    CPPUNIT_TEST(restartWithoutStatedTimeIsColdForTheDeclaredTime);
    CPPUNIT_TEST(returnedDataCentreIsColdForTheDeclaredTime);
    CPPUNIT_TEST(timeUntilWarmIsTheShortest);
    CPPUNIT_TEST(loadReturnsSlowlyAfterTheColdTime);
    CPPUNIT_TEST(transitionsAreReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    Base::RandomEngine random{7};
    Forwarding::ServerPool pool{Base::DataCentre("dc-a"), {}, random};

    void setUp() override
    {
        pool.coldServers().setPolicy(Forwarding::ColdServerPolicy());
        pool.coldServers().setConfiguration(makeConfiguration(10));
    }

    void receive(const Forwarding::ServerEntry &entry, Base::Milliseconds now = Now)
    {
        pool.addOrUpdate(entry);
        pool.onEntryReceived(entry, now);
    }

    bool isCold(int n, Base::Milliseconds now) { return pool.isCold({makeEntry(n).name, 1}, now); }

    const Forwarding::KnownServer *select(Base::Milliseconds now)
    {
        return pool.selectServer({Service, {}, {}}, now);
    }

    void nothingChangesWithoutPolicyOrLimit()
    {
        pool.coldServers().setConfiguration(makeConfiguration(0));
        receive(makeEntry(1, 3'000));
        pool.onConnectionFailed(makeEntry(1).name, Now);
        CPPUNIT_ASSERT(select(Now));
        pool.coldServers().setPolicy(std::nullopt);
        pool.coldServers().setConfiguration(makeConfiguration(10));
        CPPUNIT_ASSERT(select(Now));
        CPPUNIT_ASSERT(pool.neededColdServers(Now).empty());
    }

    void coldServerGetsNothingWhileAnotherIsWarm()
    {
        receive(makeEntry(1, 3'000));
        receive(makeEntry(2));
        pool.coldServers().setPermit({makeEntry(1).name, 1}, after(3'000));
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(select(Now)->entry.name == makeEntry(2).name);
            pool.onRequestSent(makeEntry(2).name, {}, Now);
        }
        // Not even a retry after the warm one failed.
        CPPUNIT_ASSERT(!pool.selectServer({Service, {}, {makeEntry(2).name}}, Now));
        CPPUNIT_ASSERT(!pool.hasUntriedServer(Service, {makeEntry(2).name}, Now));
        CPPUNIT_ASSERT(pool.neededColdServers(Now).empty());
    }

    void coldServerGetsSpacedRequestsUnderAPermit()
    {
        receive(makeEntry(1, 3'000));
        CPPUNIT_ASSERT(!select(Now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.neededColdServers(Now).size());
        // A permit for another incarnation does not count.
        pool.coldServers().setPermit({makeEntry(1).name, 2}, after(3'000));
        CPPUNIT_ASSERT(!select(Now));
        pool.coldServers().setPermit({makeEntry(1).name, 1}, after(1'000));
        int sent = 0;
        for (int elapsed = 0; elapsed < 2'000; elapsed += 10) {
            if (!select(after(elapsed)))
                continue;
            pool.onRequestSent(makeEntry(1).name, {}, after(elapsed));
            ++sent;
        }
        CPPUNIT_ASSERT_EQUAL(10, sent);
    }

    /// An entry may be older than a response that was received before it.
    void longestStatedTimeCounts()
    {
        receive(makeEntry(1));
        CPPUNIT_ASSERT(!isCold(1, Now));
        pool.onColdTimeStated(makeEntry(1).name, Base::Milliseconds(2'000), Now);
        receive(makeEntry(1, 500));
        receive(makeEntry(1));
        CPPUNIT_ASSERT(isCold(1, after(1'999)) && !isCold(1, after(2'000)));
    }

    void newerEntryEndsTheSuspicionOfAFailure()
    {
        receive(makeEntry(1));
        pool.onConnectionFailed(makeEntry(1).name, Now);
        CPPUNIT_ASSERT(isCold(1, after(2'999)) && !isCold(1, after(3'000)));
        receive(makeEntry(1), after(400));
        CPPUNIT_ASSERT(!isCold(1, after(400)));
    }

    void restartWithoutStatedTimeIsColdForTheDeclaredTime()
    {
        auto entry = makeEntry(1);
        entry.hasWarmUpTime = false;
        receive(entry);
        // The first incarnation that an instance sees need not have started just now.
        CPPUNIT_ASSERT(!isCold(1, Now));
        entry.startedAt = 2;
        receive(entry);
        CPPUNIT_ASSERT(pool.isCold({entry.name, 2}, after(2'999)));
        receive(entry, after(1'200));
        CPPUNIT_ASSERT(!pool.isCold({entry.name, 2}, after(3'000)));
        // Another name at the same address is another incarnation too.
        entry.name = Base::ServerName("other");
        receive(entry);
        CPPUNIT_ASSERT(pool.isCold({entry.name, 2}, after(2'999)));
    }

    void returnedDataCentreIsColdForTheDeclaredTime()
    {
        receive(makeEntry(1));
        auto other = makeEntry(2);
        other.dataCentre = Base::DataCentre("dc-b");
        receive(other);
        pool.onDataCentreReturned(Base::DataCentre("dc-a"), Now);
        receive(makeEntry(1), after(1'000));
        CPPUNIT_ASSERT(isCold(1, after(2'999)) && !isCold(1, after(3'000)) && !isCold(2, Now));
    }

    void timeUntilWarmIsTheShortest()
    {
        receive(makeEntry(1, 3'000));
        receive(makeEntry(2, 2'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'500), pool.timeUntilWarm(Service, after(500))->count());
        CPPUNIT_ASSERT(!pool.timeUntilWarm(Service, after(2'000)));
    }

    /// All instances would otherwise send their next requests to the idle server.
    void loadReturnsSlowlyAfterTheColdTime()
    {
        receive(makeEntry(1, 3'000));
        receive(makeEntry(2));
        constexpr int Loaded = 60;
        for (int n = 0; n < Loaded; ++n)
            pool.onRequestSent(makeEntry(2).name, {}, Now);
        const std::vector<Forwarding::PromptPart> prompt{{1, Base::Tokens(500)}};
        int sent = 0;
        for (const auto elapsed : {3'000, 3'600, 4'500, 5'900}) {
            const auto now = after(elapsed);
            while (select(now)->entry.name == makeEntry(1).name) {
                CPPUNIT_ASSERT(
                    pool.selectServer({Service, prompt, {}}, now)->entry.name == makeEntry(1).name);
                pool.onRequestSent(makeEntry(1).name, {}, now);
                ++sent;
            }
            const auto expected = static_cast<double>((elapsed - 3'000) * Loaded) / 3'000;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, sent, 2);
        }
    }

    void transitionsAreReportedOnce()
    {
        receive(makeEntry(1, 3'000));
        const auto cold = pool.coldServers().takeTransitions(Now);
        CPPUNIT_ASSERT(cold.size() == 1 && cold.front().isCold);
        CPPUNIT_ASSERT(cold.front().remaining == ColdTime);
        CPPUNIT_ASSERT(pool.coldServers().takeTransitions(after(1'000)).empty());
        const auto warm = pool.coldServers().takeTransitions(after(3'000));
        CPPUNIT_ASSERT(warm.size() == 1 && !warm.front().isCold);
        CPPUNIT_ASSERT(pool.coldServers().takeTransitions(after(9'000)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdServersTest);

} // namespace Carawaykeel::Tests
