#include <Carawaykeel/Forwarding/EvacuationRegisters.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Support/SeedRange.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>

namespace Carawaykeel::Tests {

namespace {

using Forwarding::Evacuation;
using Forwarding::RegisterUpdate;

const Base::ServiceName Service("service");
constexpr Base::Milliseconds Now(10'000);

Evacuation makeEvacuation(const std::string &name, std::uint64_t version, bool isEvacuated)
{
    return {Base::DataCentre(name), version, isEvacuated};
}

} // namespace

/// The registers of evacuations and their effect on the selection of servers.
class EvacuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationTest);
    CPPUNIT_TEST(latestVersionWinsInAnyOrder);
    CPPUNIT_TEST(snapshotLiftsOnlyOlderEvacuations);
    CPPUNIT_TEST(evacuationsTakeTheRoomOfLiftedOnes);
    CPPUNIT_TEST(evacuatedServersAreNotEligible);
    CPPUNIT_TEST(promptPartsSpreadOverOtherDataCentres);
    CPPUNIT_TEST_SUITE_END();

public:
    Forwarding::EvacuationRegisters registers;
    Base::RandomEngine random{7};
    Forwarding::ServerPool pool{Base::DataCentre("a"), {}, random};

    void addServers()
    {
        for (int n = 0; n < 9; ++n) {
            Forwarding::ServerEntry entry;
            entry.name = Base::ServerName(fmt::format("server-{}", n));
            entry.service = Service;
            entry.dataCentre = Base::DataCentre(std::string(1, "abc"[n % 3]));
            pool.addOrUpdate(entry);
        }
    }
    void setEvacuated(const std::string &name, bool isEvacuated = true)
    {
        pool.setEvacuated(Base::DataCentre(name), isEvacuated, Now);
    }
    std::map<std::string, int> selectedDataCentres()
    {
        std::map<std::string, int> selected;
        for (int n = 0; n < 100; ++n) {
            if (const auto *server = pool.selectServer({Service, {}, {}}, Now)) {
                ++selected[server->entry.dataCentre.text()];
                pool.onRequestSent(server->entry.name, {}, Now);
            }
        }
        return selected;
    }

    /// Datagrams are duplicated and reordered. An instance that reverted to an earlier state would
    /// send requests to an evacuated data centre.
    void latestVersionWinsInAnyOrder()
    {
        forEachSeed(20, [](int seed) {
            Base::RandomEngine engine(static_cast<std::uint64_t>(seed));
            std::vector<Evacuation> updates;
            for (std::uint64_t version = 1; version <= 8; ++version) {
                updates.push_back(makeEvacuation("a", version, version % 2 == 0));
                updates.push_back(makeEvacuation("b", version + 10, version % 2 == 1));
            }
            updates.insert(updates.end(), updates.begin(), updates.end());
            std::ranges::shuffle(updates, engine);
            Forwarding::EvacuationRegisters registers;
            for (const auto &update : updates)
                registers.apply(update);
            const std::vector expected{
                makeEvacuation("a", 8, true), makeEvacuation("b", 18, false)};
            CPPUNIT_ASSERT(registers.all() == expected);
        });
    }

    /// After the feed's history was lost, a removal is seen only as a missing row. A report of
    /// another instance that precedes the snapshot must not evacuate the data centre again.
    void snapshotLiftsOnlyOlderEvacuations()
    {
        registers.apply(makeEvacuation("a", 5, true));
        registers.apply(makeEvacuation("b", 12, true));
        const std::vector rows{makeEvacuation("c", 3, true)};
        const auto results = registers.applySnapshot(rows, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), results.size());
        CPPUNIT_ASSERT(results.at(0).evacuation == makeEvacuation("a", 10, false));
        CPPUNIT_ASSERT(results.at(1).update == RegisterUpdate::Applied);
        CPPUNIT_ASSERT(registers.apply(makeEvacuation("d", 7, true)) == RegisterUpdate::Outdated);
        const std::vector expected{makeEvacuation("a", 10, false), makeEvacuation("b", 12, true),
            makeEvacuation("c", 3, true), makeEvacuation("d", 10, false)};
        CPPUNIT_ASSERT(registers.all() == expected);
    }

    void evacuationsTakeTheRoomOfLiftedOnes()
    {
        constexpr auto Max = Forwarding::EvacuationRegisters::MaxRegisters;
        for (std::uint64_t n = 1; n <= Max; ++n)
            registers.apply(makeEvacuation(fmt::format("x{}", n), n, false));
        CPPUNIT_ASSERT(registers.apply(makeEvacuation("y", 0, false)) == RegisterUpdate::Rejected);
        for (std::uint64_t n = 1; n <= Max; ++n) {
            const auto update = makeEvacuation(fmt::format("z{}", n), n, true);
            CPPUNIT_ASSERT(registers.apply(update) == RegisterUpdate::Applied);
        }
        CPPUNIT_ASSERT_EQUAL(Max, registers.evacuatedCount());
        CPPUNIT_ASSERT(registers.apply(makeEvacuation("z", 99, true)) == RegisterUpdate::Rejected);
        const std::string tooLong(Forwarding::EvacuationRegisters::MaxNameBytes + 1, 'n');
        CPPUNIT_ASSERT(
            registers.apply(makeEvacuation(tooLong, 1, true)) == RegisterUpdate::Rejected);
    }

    /// Two evacuations at once, all data centres, a lifted evacuation and an unknown name.
    void evacuatedServersAreNotEligible()
    {
        setEvacuated("b");
        setEvacuated("unknown");
        addServers();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), selectedDataCentres().size());
        CPPUNIT_ASSERT(!pool.isBlockedByEvacuation(Service, Now));
        setEvacuated("a");
        CPPUNIT_ASSERT_EQUAL(100, selectedDataCentres()["c"]);
        constexpr Base::Milliseconds Pause(500);
        for (const auto *name : {"server-2", "server-5", "server-8"})
            pool.onServerPaused(Base::ServerName(name), Pause, Now);
        CPPUNIT_ASSERT(pool.timeUntilUnpaused(Service, Now) == Pause);
        setEvacuated("c");
        CPPUNIT_ASSERT(selectedDataCentres().empty());
        CPPUNIT_ASSERT(!pool.hasUntriedServer(Service, {}, Now));
        CPPUNIT_ASSERT(pool.isBlockedByEvacuation(Service, Now));
        CPPUNIT_ASSERT(!pool.isBlockedByEvacuation(Base::ServiceName("other"), Now));
        setEvacuated("b", false);
        CPPUNIT_ASSERT_EQUAL(100, selectedDataCentres()["b"]);
    }

    /// If a prompt part kept its preferred server, its tokens would be processed again by whichever
    /// server is chosen, and several servers would cache it.
    void promptPartsSpreadOverOtherDataCentres()
    {
        addServers();
        setEvacuated("a");
        std::map<Base::ServerName, int> selected;
        for (std::uint64_t part = 1; part <= 120; ++part) {
            const std::vector<Forwarding::PromptPart> prompt{
                {part, Base::Tokens(50'000)}, {1'000 + part, Base::Tokens(10)}};
            const auto name = pool.selectServer({Service, prompt, {}}, Now)->entry.name;
            for (int n = 0; n < 5; ++n)
                CPPUNIT_ASSERT(pool.selectServer({Service, prompt, {}}, Now)->entry.name == name);
            ++selected[name];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), selected.size());
        for (const auto &[name, parts] : selected)
            CPPUNIT_ASSERT(parts >= 8 && parts <= 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace Carawaykeel::Tests
