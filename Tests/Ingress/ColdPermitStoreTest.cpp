#include <Support/ColdFleet.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <string>

namespace Carawaykeel::Tests {

namespace {

constexpr int Servers = 4;

std::string instanceName(int n)
{
    return fmt::format("i-{}", n);
}

/// Sends a request every few milliseconds.
void runWithLoad(VirtualWorld &world, ColdFleet &fleet, int milliseconds, int interval)
{
    for (int elapsed = 0; elapsed < milliseconds; elapsed += interval) {
        world.run(Base::Milliseconds(interval));
        fleet.sendRequest();
    }
}

/// Lets instances join, die and be partitioned while servers restart, singly and all at once.
void runRandomFaults(int seed, const ColdFleetDefects &defects)
{
    VirtualWorld world(static_cast<std::uint64_t>(seed));
    ColdFleet fleet(world, Servers, defects);
    constexpr int Instances = 12;
    for (int n = 0; n < Instances; ++n)
        fleet.join(instanceName(n));
    fleet.table().replyLoss = 0.1;
    fleet.table().lateCommit = 0.1;
    fleet.table().refusal = 0.05;
    for (int round = 0; round < 40; ++round) {
        const auto name = instanceName(static_cast<int>(world.draw(0, Instances - 1)));
        switch (world.draw(0, 6)) {
        case 0:
            fleet.kill(name);
            break;
        case 1:
        case 2:
            fleet.join(name);
            break;
        case 3:
            fleet.setPartition(name, static_cast<int>(world.draw(0, 3)));
            break;
        case 4:
            if (!fleet.table().disconnectedClients.erase(name))
                fleet.table().disconnectedClients.insert(name);
            break;
        case 5:
            fleet.restartServers(static_cast<int>(world.draw(0, Servers - 1)), 1);
            break;
        default:
            fleet.restartServers(0, Servers);
        }
        runWithLoad(world, fleet, static_cast<int>(world.draw(100, 2'000)), 2);
    }
    fleet.check();
}

} // namespace

/// Cold servers get no more requests than the bound, whatever happens to the instances.
class ColdPermitStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdPermitStoreTest);
    CPPUNIT_TEST(boundHoldsUnderRandomFaults);
    CPPUNIT_TEST(boundIsExceededWithoutLimit);
    CPPUNIT_TEST(boundIsExceededWithoutCommonTable);
    CPPUNIT_TEST(boundHoldsWhenAllInstancesRestart);
    CPPUNIT_TEST(holderSendsAtTheToleratedRate);
    CPPUNIT_TEST(nothingIsSentAfterTheHolderDied);
    CPPUNIT_TEST(nothingIsSentWithoutTheTable);
    CPPUNIT_TEST(rowsAreRemovedWhenServersAreWarm);
    CPPUNIT_TEST_SUITE_END();

public:
    void boundHoldsUnderRandomFaults()
    {
        forEachSeed(50, [](int seed) { runRandomFaults(seed, {}); });
    }

    void boundIsExceededWithoutLimit()
    {
        expectSomeSeedFails(5, [](int seed) { runRandomFaults(seed, {.hasNoLimit = true}); });
    }

    /// Spacing by each instance alone does not hold the bound.
    void boundIsExceededWithoutCommonTable()
    {
        expectSomeSeedFails(
            50, [](int seed) { runRandomFaults(seed, {.hasSeparateTables = true}); });
    }

    /// Half of 76 restarted instances see only each other, and half of these have no table.
    void boundHoldsWhenAllInstancesRestart()
    {
        constexpr int Instances = 76;
        forEachSeed(5, [](int seed) {
            VirtualWorld world(static_cast<std::uint64_t>(seed));
            ColdFleet fleet(world, Servers);
            for (int n = 0; n < Instances; ++n)
                fleet.join(instanceName(n));
            runWithLoad(world, fleet, 8'000, 2);
            const int before = fleet.coldRequests();
            fleet.restartServers(0, Servers);
            for (int n = 0; n < Instances; ++n) {
                fleet.kill(instanceName(n));
                fleet.setPartition(instanceName(n), n % 2);
                if (n % 4 == 1)
                    fleet.table().disconnectedClients.insert(instanceName(n));
                fleet.join(instanceName(n));
            }
            runWithLoad(world, fleet, 10'000, 1);
            fleet.check();
            CPPUNIT_ASSERT_MESSAGE("no cold server was used", fleet.coldRequests() > before);
        });
    }

    /// A single instance gets the permits and uses them fully.
    void holderSendsAtTheToleratedRate()
    {
        VirtualWorld world(1);
        ColdFleet fleet(world, 1);
        fleet.join("i-0");
        // The first entry that the instance receives is the second one, up to 1,700 ms after the
        // start.
        runWithLoad(world, fleet, 3'000, 1);
        fleet.check();
        CPPUNIT_ASSERT(fleet.coldRequests() >= 10 && fleet.coldRequests() <= 19);
    }

    /// A permit that was handed on would add its requests to those of a holder that only seems
    /// dead.
    void nothingIsSentAfterTheHolderDied()
    {
        VirtualWorld world(2);
        ColdFleet fleet(world, 1);
        fleet.join("i-0");
        runWithLoad(world, fleet, 1'900, 1);
        const int sent = fleet.coldRequests();
        CPPUNIT_ASSERT(sent > 0);
        fleet.join("i-1");
        fleet.kill("i-0");
        runWithLoad(world, fleet, 1'100, 1);
        CPPUNIT_ASSERT_EQUAL(sent, fleet.coldRequests());
        runWithLoad(world, fleet, 4'000, 1);
        CPPUNIT_ASSERT(fleet.sendRequest());
    }

    void nothingIsSentWithoutTheTable()
    {
        VirtualWorld world(3);
        ColdFleet fleet(world, 1);
        fleet.join("i-0");
        fleet.table().replyLoss = 1;
        runWithLoad(world, fleet, 3'000, 1);
        CPPUNIT_ASSERT_EQUAL(0, fleet.coldRequests());
    }

    /// A row that stays would exclude the server when it is cold again.
    void rowsAreRemovedWhenServersAreWarm()
    {
        VirtualWorld world(4);
        ColdFleet fleet(world, Servers);
        for (int n = 0; n < 4; ++n)
            fleet.join(instanceName(n));
        runWithLoad(world, fleet, 2'500, 5);
        CPPUNIT_ASSERT(!fleet.table().range("cold/").empty());
        // One row is left to the instances that did not write it.
        fleet.kill("i-0");
        runWithLoad(world, fleet, 6'000, 5);
        CPPUNIT_ASSERT(fleet.table().range("cold/").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdPermitStoreTest);

} // namespace Carawaykeel::Tests
