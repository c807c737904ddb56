#include <Carawaykeel/Forwarding/ServerPool.h>

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr Base::Milliseconds Now(10'000);

Forwarding::ServerEntry makeEntry(int n, const std::string &dataCentre = "dc-a")
{
    Forwarding::ServerEntry entry;
    entry.name = Base::ServerName("server-" + std::to_string(n));
    entry.service = Service;
    entry.address = "127.0.0.1:" + std::to_string(1'000 + n);
    entry.dataCentre = Base::DataCentre(dataCentre);
    entry.slots = 64;
    return entry;
}

/// Returns a prompt with one shared part and one part of its own.
std::vector<Forwarding::PromptPart> makePrompt(std::uint64_t part)
{
    static std::uint64_t lastOwnPart = 1'000'000;
    return {{part, Base::Tokens(500)}, {++lastOwnPart, Base::Tokens(1'000)}};
}

} // namespace

/// Checks the selection of servers by prompt, load, failures and data centre.
class ServerPoolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPoolTest);
    CPPUNIT_TEST(instancesSelectTheSameServerForAPrompt);
    CPPUNIT_TEST(frequentPromptIsSpreadOverServers);
    CPPUNIT_TEST(leavingAndTriedServersAreNotSelected);
    CPPUNIT_TEST(localServerIsPreferredUntilItIsLoaded);
    CPPUNIT_TEST(serverThatSaysItLeavesIsNotSelected);
    CPPUNIT_TEST(serverThatPausesIsSelectedAgainAtTheEnd);
    CPPUNIT_TEST(pauseEndsWithTheIncarnation);
    CPPUNIT_TEST(timeUntilUnpausedIsTheShortestAndBounded);
    CPPUNIT_TEST(failingServerIsAvoidedTemporarily);
    CPPUNIT_TEST(avoidedServerIsSelectedWhenAllAreAvoided);
    CPPUNIT_TEST(newIncarnationStartsWithoutState);
    CPPUNIT_TEST_SUITE_END();

public:
    Base::RandomEngine random{7};
    Forwarding::ServerPool pool{Base::DataCentre("dc-a"), {}, random};

    void addServers(int servers)
    {
        for (int n = 0; n < servers; ++n)
            pool.addOrUpdate(makeEntry(n));
    }

    void instancesSelectTheSameServerForAPrompt()
    {
        Base::RandomEngine otherRandom{8};
        Forwarding::ServerPool otherPool(Base::DataCentre("dc-b"), {}, otherRandom);
        addServers(9);
        for (int n = 8; n >= 0; --n)
            otherPool.addOrUpdate(makeEntry(n));
        std::map<Base::ServerName, int> selected;
        for (std::uint64_t part = 1; part <= 200; ++part) {
            const auto *server = pool.selectServer({Service, makePrompt(part), {}}, Now);
            ++selected[server->entry.name];
            CPPUNIT_ASSERT(server->entry.name
                == otherPool.selectServer({Service, makePrompt(part), {}}, Now)->entry.name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), selected.size());
    }

    /// A prompt part may be shared by as many as a quarter of the requests of one kind. These must
    /// not all go to one server.
    void frequentPromptIsSpreadOverServers()
    {
        addServers(9);
        std::map<Base::ServerName, int> sent;
        for (int n = 0; n < 90; ++n) {
            const auto parts = makePrompt(42);
            const auto name = pool.selectServer({Service, parts, {}}, Now)->entry.name;
            pool.onRequestSent(name, parts, Now);
            ++sent[name];
        }
        int maxSent = 0;
        for (const auto &[name, count] : sent)
            maxSent = std::max(maxSent, count);
        CPPUNIT_ASSERT(maxSent <= 20);
    }

    void leavingAndTriedServersAreNotSelected()
    {
        addServers(2);
        auto leaving = makeEntry(0);
        leaving.isLeaving = true;
        pool.addOrUpdate(leaving);
        for (std::uint64_t part = 0; part < 50; ++part) {
            CPPUNIT_ASSERT(pool.selectServer({Service, makePrompt(part), {}}, Now)->entry.name
                == makeEntry(1).name);
        }
        CPPUNIT_ASSERT(!pool.selectServer({Service, {}, {makeEntry(1).name}}, Now));
        CPPUNIT_ASSERT(!pool.hasUntriedServer(Service, {makeEntry(1).name}, Now));
        CPPUNIT_ASSERT(!pool.selectServer({Base::ServiceName("other"), {}, {}}, Now));
    }

    void localServerIsPreferredUntilItIsLoaded()
    {
        pool.addOrUpdate(makeEntry(0, "dc-b"));
        pool.addOrUpdate(makeEntry(1, "dc-a"));
        CPPUNIT_ASSERT(pool.selectServer({Service, {}, {}}, Now)->entry.name == makeEntry(1).name);
        pool.onRequestSent(makeEntry(1).name, {}, Now);
        CPPUNIT_ASSERT(pool.selectServer({Service, {}, {}}, Now)->entry.name == makeEntry(0).name);
    }

    /// What a server says of itself stands against its entry, also when the entry expires and comes
    /// back; another incarnation is another server.
    void serverThatSaysItLeavesIsNotSelected()
    {
        addServers(2);
        CPPUNIT_ASSERT(pool.onServerLeaving(makeEntry(0).name));
        CPPUNIT_ASSERT(!pool.onServerLeaving(makeEntry(0).name));
        CPPUNIT_ASSERT(!pool.onServerLeaving(makeEntry(7).name));
        const auto requireExcluded = [&] {
            CPPUNIT_ASSERT(!pool.isUsable(makeEntry(0).name));
            CPPUNIT_ASSERT(!pool.hasUntriedServer(Service, {makeEntry(1).name}, Now));
            CPPUNIT_ASSERT(!pool.selectServer({Service, {}, {makeEntry(1).name}}, Now));
        };
        requireExcluded();
        pool.addOrUpdate(makeEntry(0));
        requireExcluded();
        pool.remove(makeEntry(0).name);
        pool.addOrUpdate(makeEntry(0));
        requireExcluded();
        auto restarted = makeEntry(0);
        ++restarted.startedAt;
        pool.addOrUpdate(restarted);
        CPPUNIT_ASSERT(pool.isUsable(makeEntry(0).name));
    }

    void serverThatPausesIsSelectedAgainAtTheEnd()
    {
        addServers(2);
        const Base::Milliseconds pause(2'000);
        const std::set<Base::ServerName> other{makeEntry(1).name};
        pool.onServerPaused(makeEntry(0).name, pause, Now);
        // Neither a later update nor a shorter pause ends it.
        pool.onServerPaused(makeEntry(0).name, Base::Milliseconds(1), Now);
        pool.remove(makeEntry(0).name);
        pool.addOrUpdate(makeEntry(0));
        const auto last = Now + pause - Base::Milliseconds(1);
        CPPUNIT_ASSERT(!pool.selectServer({Service, {}, other}, last));
        CPPUNIT_ASSERT(!pool.hasUntriedServer(Service, other, last));
        CPPUNIT_ASSERT(pool.selectServer({Service, {}, other}, Now + pause));
    }

    void pauseEndsWithTheIncarnation()
    {
        addServers(1);
        pool.onServerPaused(makeEntry(0).name, Base::Milliseconds(2'000), Now);
        auto restarted = makeEntry(0);
        ++restarted.startedAt;
        pool.addOrUpdate(restarted);
        CPPUNIT_ASSERT(pool.selectServer({Service, {}, {}}, Now));
    }

    void timeUntilUnpausedIsTheShortestAndBounded()
    {
        addServers(2);
        pool.onServerPaused(makeEntry(0).name, Base::Milliseconds(86'400'000), Now);
        CPPUNIT_ASSERT(!pool.timeUntilUnpaused(Service, Now));
        pool.onServerPaused(makeEntry(1).name, Base::Milliseconds(86'400'000), Now);
        CPPUNIT_ASSERT(
            pool.timeUntilUnpaused(Service, Now) == Forwarding::ServerPool::MaxServerPause);
    }

    void failingServerIsAvoidedTemporarily()
    {
        addServers(2);
        for (int n = 0; n < 3; ++n) {
            pool.onRequestSent(makeEntry(0).name, {}, Now);
            pool.onAttemptEnded(makeEntry(0).name, true, Now);
        }
        for (int n = 0; n < 50; ++n) {
            pool.onRequestSent(makeEntry(1).name, {}, Now);
            CPPUNIT_ASSERT(
                pool.selectServer({Service, {}, {}}, Now)->entry.name == makeEntry(1).name);
        }
        const auto later = Now + Base::Milliseconds(1'001);
        CPPUNIT_ASSERT(
            pool.selectServer({Service, {}, {}}, later)->entry.name == makeEntry(0).name);
    }

    void avoidedServerIsSelectedWhenAllAreAvoided()
    {
        addServers(1);
        for (int n = 0; n < 9; ++n)
            pool.onAttemptEnded(makeEntry(0).name, true, Now);
        CPPUNIT_ASSERT(pool.selectServer({Service, {}, {}}, Now));
    }

    void newIncarnationStartsWithoutState()
    {
        addServers(1);
        pool.onRequestSent(makeEntry(0).name, {}, Now);
        auto restarted = makeEntry(0);
        restarted.startedAt = 5;
        pool.addOrUpdate(restarted);
        CPPUNIT_ASSERT_EQUAL(0, pool.servers().front().inFlight);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPoolTest);

} // namespace Carawaykeel::Tests
