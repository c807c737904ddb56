#include <Carawaykeel/Forwarding/ServerPool.h>

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr Base::Milliseconds Now(10'000);

Forwarding::ServerEntry entry(int n, const std::string &dataCentre = "dc-a")
{
    Forwarding::ServerEntry entry;
    entry.name = Base::ServerName("server-" + std::to_string(n));
    entry.service = Service;
    entry.address = "127.0.0.1:" + std::to_string(1'000 + n);
    entry.dataCentre = Base::DataCentre(dataCentre);
    entry.slots = 64;
    return entry;
}

/// A prompt that shares one part with others.
std::vector<Forwarding::PromptPart> prompt(std::uint64_t part)
{
    static std::uint64_t own = 1'000'000;
    return {{part, Base::Tokens(500)}, {++own, Base::Tokens(1'000)}};
}

} // namespace

/// Where work goes.
class ServerFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerFleetTest);
    CPPUNIT_TEST(instancesAgreeOnAPromptsServer);
    CPPUNIT_TEST(hotPromptSpillsOver);
    CPPUNIT_TEST(leavingAndTriedServersAreNotChosen);
    CPPUNIT_TEST(nearServerIsPreferredUntilItIsLoaded);
    CPPUNIT_TEST(failingServerIsAvoidedAndComesBack);
    CPPUNIT_TEST(allAvoidedIsBetterThanNone);
    CPPUNIT_TEST(laterLifeBeginsWithoutAPast);
    CPPUNIT_TEST_SUITE_END();

public:
    Base::RandomEngine random{7};
    Forwarding::ServerPool fleet{Base::DataCentre("dc-a"), {}, random};

    void announce(int servers)
    {
        for (int n = 0; n < servers; ++n)
            fleet.addOrUpdate(entry(n));
    }

    void instancesAgreeOnAPromptsServer()
    {
        Base::RandomEngine otherRandom{8};
        Forwarding::ServerPool other(Base::DataCentre("dc-b"), {}, otherRandom);
        announce(9);
        for (int n = 8; n >= 0; --n)
            other.addOrUpdate(entry(n));
        std::map<Base::ServerName, int> chosen;
        for (std::uint64_t part = 1; part <= 200; ++part) {
            const auto *server = fleet.selectServer({Service, prompt(part), {}}, Now);
            ++chosen[server->entry.name];
            CPPUNIT_ASSERT(server->entry.name
                == other.selectServer({Service, prompt(part), {}}, Now)->entry.name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), chosen.size());
    }

    /// Pattern: a quarter of a kind of request is about one thing.
    void hotPromptSpillsOver()
    {
        announce(9);
        std::map<Base::ServerName, int> sent;
        for (int n = 0; n < 90; ++n) {
            const auto parts = prompt(42);
            const auto name = fleet.selectServer({Service, parts, {}}, Now)->entry.name;
            fleet.onRequestSent(name, parts, Now);
            ++sent[name];
        }
        int most = 0;
        for (const auto &[name, count] : sent)
            most = std::max(most, count);
        CPPUNIT_ASSERT(most <= 20);
    }

    void leavingAndTriedServersAreNotChosen()
    {
        announce(2);
        auto leaving = entry(0);
        leaving.isLeaving = true;
        fleet.addOrUpdate(leaving);
        for (std::uint64_t part = 0; part < 50; ++part) {
            CPPUNIT_ASSERT(
                fleet.selectServer({Service, prompt(part), {}}, Now)->entry.name == entry(1).name);
        }
        CPPUNIT_ASSERT(!fleet.selectServer({Service, {}, {entry(1).name}}, Now));
        CPPUNIT_ASSERT(!fleet.hasUntriedServer(Service, {entry(1).name}));
        CPPUNIT_ASSERT(!fleet.selectServer({Base::ServiceName("other"), {}, {}}, Now));
    }

    void nearServerIsPreferredUntilItIsLoaded()
    {
        fleet.addOrUpdate(entry(0, "dc-b"));
        fleet.addOrUpdate(entry(1, "dc-a"));
        CPPUNIT_ASSERT(fleet.selectServer({Service, {}, {}}, Now)->entry.name == entry(1).name);
        fleet.onRequestSent(entry(1).name, {}, Now);
        CPPUNIT_ASSERT(fleet.selectServer({Service, {}, {}}, Now)->entry.name == entry(0).name);
    }

    void failingServerIsAvoidedAndComesBack()
    {
        announce(2);
        for (int n = 0; n < 3; ++n) {
            fleet.onRequestSent(entry(0).name, {}, Now);
            fleet.onAttemptEnded(entry(0).name, true, Now);
        }
        for (int n = 0; n < 50; ++n) {
            fleet.onRequestSent(entry(1).name, {}, Now);
            CPPUNIT_ASSERT(fleet.selectServer({Service, {}, {}}, Now)->entry.name == entry(1).name);
        }
        const auto later = Now + Base::Milliseconds(1'001);
        CPPUNIT_ASSERT(fleet.selectServer({Service, {}, {}}, later)->entry.name == entry(0).name);
    }

    void allAvoidedIsBetterThanNone()
    {
        announce(1);
        for (int n = 0; n < 9; ++n)
            fleet.onAttemptEnded(entry(0).name, true, Now);
        CPPUNIT_ASSERT(fleet.selectServer({Service, {}, {}}, Now));
    }

    void laterLifeBeginsWithoutAPast()
    {
        announce(1);
        fleet.onRequestSent(entry(0).name, {}, Now);
        auto reborn = entry(0);
        reborn.startedAt = 5;
        fleet.addOrUpdate(reborn);
        CPPUNIT_ASSERT_EQUAL(0, fleet.servers().front().inFlight);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerFleetTest);

} // namespace Carawaykeel::Tests
