#include <Support/AllotmentFleet.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int Instances = 8;
/// Three times `smallFleetSize`, the largest fleet in which all instances hold allotments of one
/// team.
constexpr int MediumFleet = 24;
constexpr int LargeFleet = 71;
/// Transactions per second that one partition of the platform's table supports.
constexpr std::uint64_t WritesPerSecond = 250;
/// An average team of Lisovna Hub: a third of a day's tokens every 13 s, in bursts.
constexpr std::int64_t Prepaid = 1'060'000;
constexpr std::int64_t TokensPerSecond = 26'500;
constexpr std::int64_t MeanRequest = 3'000;
constexpr std::int64_t LargestRequest = 40'000;

/// Sends requests of one team to all instances, unevenly distributed, some of them large.
class RequestGenerator
{
public:
    RequestGenerator(VirtualWorld &world, AllotmentFleet &fleet, int instances)
        : m_world(world)
        , m_fleet(fleet)
        , m_instances(instances)
    {
    }

    void run(Base::Milliseconds span, double loadFactor, const std::function<void()> &check = {})
    {
        const auto end = m_world.now() + span;
        while (m_world.now() < end) {
            const auto gap = static_cast<std::int64_t>(
                1'000.0 * MeanRequest / (TokensPerSecond * loadFactor) / 0.75);
            m_world.run(Base::Milliseconds(m_world.draw(1, 2 * gap)), check);
            // Takes the lower of two draws, so that some instances get more requests than others.
            const auto instance = static_cast<int>(
                std::min(m_world.draw(0, m_instances - 1), m_world.draw(0, m_instances - 1)));
            const bool isLarge = m_world.happens(0.04);
            m_fleet.request(instance,
                isLarge ? m_world.draw(MeanRequest, LargestRequest) : m_world.draw(500, 5'000));
        }
    }

private:
    VirtualWorld &m_world;
    AllotmentFleet &m_fleet;
    const int m_instances;
};

/// A fleet with its callers, in a virtual world of its own.
struct FleetScenario
{
    explicit FleetScenario(int seed, int instances = Instances)
        : world(static_cast<std::uint64_t>(seed))
        , fleet(world, instances, Prepaid)
        , requests(world, fleet, instances)
    {
    }

    VirtualWorld world;
    AllotmentFleet fleet;
    RequestGenerator requests;
};

void checkNoOverspend(const AllotmentFleet &fleet)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("used {} of {}", fleet.used(), fleet.prepaid()),
        fleet.used() <= fleet.prepaid());
}

/// No instance may spend more than its allotment in the table.
void checkNoOverdrafts(const AllotmentFleet &fleet)
{
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} overdrafts", fleet.overdrafts()), fleet.overdrafts() == 0);
}

/// Injects one random fault of the kinds that allotments must tolerate.
void injectFault(VirtualWorld &world, AllotmentFleet &fleet, int instances)
{
    const auto instance = static_cast<int>(world.draw(0, instances - 1));
    const auto other = static_cast<int>(world.draw(0, instances - 1));
    switch (world.draw(0, 9)) {
    case 0:
        if (fleet.isAlive(instance))
            fleet.kill(instance);
        break;
    case 1:
        if (!fleet.isAlive(instance))
            fleet.start(instance);
        break;
    case 2:
        fleet.pause(instance, Base::Milliseconds(world.draw(100, 12'000)));
        break;
    case 3:
        fleet.table().isDown = !fleet.table().isDown;
        break;
    case 4:
        fleet.table().replyLoss = world.happens(0.5) ? 0.4 : 0;
        fleet.table().lateCommit = world.happens(0.5) ? 0.3 : 0;
        break;
    case 5:
        fleet.table().disconnectedClients.insert(AllotmentFleet::nameOf(instance));
        break;
    case 6:
        fleet.table().disconnectedClients.clear();
        break;
    case 7:
        fleet.network().setPartitioned(
            AllotmentFleet::nameOf(instance), AllotmentFleet::nameOf(other), world.happens(0.5));
        break;
    case 8:
        if (fleet.isAlive(instance))
            fleet.holder(instance).returnAll([](bool) {});
        break;
    default:
        fleet.table().extraDelay = Base::Milliseconds(world.draw(0, 400));
        break;
    }
}

void runWithRandomFaults(int seed, Mutation mutation, int instances = Instances)
{
    FleetScenario scenario(seed, instances);
    scenario.fleet.table().mutation = mutation;
    scenario.fleet.network().loss = 0.03;
    scenario.fleet.network().duplication = 0.05;
    for (int step = 0; step < 60; ++step) {
        scenario.requests.run(Base::Milliseconds(scenario.world.draw(100, 1'500)), 4,
            [&] { checkNoOverspend(scenario.fleet); });
        injectFault(scenario.world, scenario.fleet, instances);
    }
}

/// The table is unreachable for nine seconds, then all processes die at once.
void killAllDuringOutage(int seed, Mutation mutation)
{
    FleetScenario scenario(seed);
    scenario.fleet.table().mutation = mutation;
    scenario.world.run(Base::Milliseconds(10'000));
    scenario.requests.run(Base::Milliseconds(4'000), 1);
    scenario.fleet.table().isDown = true;
    scenario.requests.run(Base::Milliseconds(9'000), 1.5);
    scenario.fleet.killAll();
    scenario.fleet.table().isDown = false;
    scenario.world.run(Base::Milliseconds(500));
    scenario.fleet.startAll();
    scenario.requests.run(Base::Milliseconds(60'000), 2, [&] { checkNoOverspend(scenario.fleet); });
}

/// Tokens that remained when all processes had died, and tokens of them that could be used.
struct RemainingAfterRestart
{
    std::int64_t remaining;
    std::int64_t used;
};

/// Sends requests until a third of the tokens remains, then makes the table unreachable for a span.
/// At most one in twenty requests may be refused.
void runOutageWithAThirdRemaining(
    FleetScenario &scenario, Base::Milliseconds span, double loadFactor)
{
    scenario.world.run(Base::Milliseconds(10'000));
    while (scenario.fleet.used() * 3 < scenario.fleet.prepaid() * 2)
        scenario.requests.run(Base::Milliseconds(500), loadFactor);
    const auto before = scenario.fleet.counts();
    scenario.fleet.table().isDown = true;
    scenario.requests.run(span, loadFactor);
    const auto refused = scenario.fleet.counts().refused() - before.refused();
    const auto granted = scenario.fleet.counts().granted - before.granted;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("refused {} of {}", refused, refused + granted),
        refused * 20 <= granted + refused);
}

/// Kills all processes, restarts them after `downtime`, and sends requests for a span.
RemainingAfterRestart restartAllAndUseRemaining(
    FleetScenario &scenario, Base::Milliseconds downtime, Base::Milliseconds span)
{
    scenario.fleet.killAll();
    scenario.world.run(downtime);
    scenario.fleet.startAll();
    scenario.world.run(Base::Milliseconds(1'500));
    const auto before = scenario.fleet.used();
    scenario.requests.run(span, 1, [&] { checkNoOverspend(scenario.fleet); });
    return {scenario.fleet.prepaid() - before, scenario.fleet.used() - before};
}

} // namespace

/// Allotments that grow with the table's clock: nothing is overspent, an outage refuses few
/// requests, and the death of instances loses few tokens.
class AllotmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllotmentTest);
    CPPUNIT_TEST(spendLimitGrowsWithTheClockUpToTheTotal);
    CPPUNIT_TEST(nothingIsOverspentUnderRandomFaults);
    CPPUNIT_TEST(nothingIsOverspentInALargeFleet);
    CPPUNIT_TEST(unconditionalLedgerWritesAreDetected);
    CPPUNIT_TEST(unconditionalLedgerWritesAreDetectedInALargeFleet);
    CPPUNIT_TEST(deathDuringAnOutageOverspendsNothing);
    CPPUNIT_TEST(stoppedClockIsDetected);
    CPPUNIT_TEST(incarnationWithoutACommittedReportSpendsNothing);
    CPPUNIT_TEST(refusedReportLeavesAnEarlierOnePending);
    CPPUNIT_TEST(largeFleetRefusesNothingWithinTheWriteLimit);
    CPPUNIT_TEST(repeatedOutagesRefuseNothing);
    CPPUNIT_TEST(hotTeamIsServedDuringAnOutage);
    CPPUNIT_TEST(hotTeamIsServedDuringAnOutageWithAThirdRemaining);
    CPPUNIT_TEST(exhaustedBudgetIsRefusedAtOnceDuringAnOutage);
    CPPUNIT_TEST(nearlyAllTokensAreUsable);
    CPPUNIT_TEST(nearlyAllTokensAreUsableInALargeFleet);
    CPPUNIT_TEST(outageRefusesNothingInALargeFleet);
    CPPUNIT_TEST(largeFleetIsServedDuringAnOutageWithAThirdRemaining);
    CPPUNIT_TEST(mostTokensAreUsableAfterAllInstancesDied);
    CPPUNIT_TEST(drainedInstanceLeavesNoAllotment);
    CPPUNIT_TEST(drainDuringAReportLeavesNoAllotment);
    CPPUNIT_TEST(drainWithASlowTableLeavesNoAllotment);
    CPPUNIT_TEST(newInstanceBorrowsWhileTheTableIsUnreachable);
    CPPUNIT_TEST(drainDuringAnOutageLosesFewTokens);
    CPPUNIT_TEST(fewTokensAreLostWhenAllInstancesDieLate);
    CPPUNIT_TEST_SUITE_END();

public:
    void spendLimitGrowsWithTheClockUpToTheTotal()
    {
        const Budget::Allotment allotment{{}, Base::Tokens(10), Base::Tokens(5), Base::Tokens(100),
            Base::Milliseconds(2'000), Base::Milliseconds(10'000), Base::Milliseconds(1'000)};
        const auto limit = [&](std::int64_t now) {
            return allotment.spendLimitAt(Base::Milliseconds(now)).count();
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(1'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(3'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(65), limit(8'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(115), limit(60'000));
    }

    void nothingIsOverspentUnderRandomFaults()
    {
        forEachSeed(40, [](int seed) { runWithRandomFaults(seed, Mutation::None); });
    }

    void nothingIsOverspentInALargeFleet()
    {
        forEachSeed(10, [](int seed) { runWithRandomFaults(seed, Mutation::None, MediumFleet); });
    }

    void unconditionalLedgerWritesAreDetectedInALargeFleet()
    {
        expectSomeSeedFails(10, [](int seed) {
            runWithRandomFaults(seed, Mutation::UnconditionalLedger, MediumFleet);
        });
    }

    void unconditionalLedgerWritesAreDetected()
    {
        expectSomeSeedFails(
            40, [](int seed) { runWithRandomFaults(seed, Mutation::UnconditionalLedger); });
    }

    void deathDuringAnOutageOverspendsNothing()
    {
        forEachSeed(10, [](int seed) { killAllDuringOutage(seed, Mutation::None); });
    }

    void stoppedClockIsDetected()
    {
        expectSomeSeedFails(
            10, [](int seed) { killAllDuringOutage(seed, Mutation::StoppedClock); });
    }

    /// Guards against spending from an allotment that the table no longer holds: a commit without a
    /// reply takes effect after a later one was refused.
    void refusedReportLeavesAnEarlierOnePending()
    {
        forEachSeed(20, [](int seed) {
            FleetScenario scenario(seed);
            scenario.fleet.table().refusal = 0.95;
            scenario.fleet.table().lateCommit = 0.3;
            scenario.requests.run(Base::Milliseconds(60'000), 3);
            checkNoOverdrafts(scenario.fleet);
        });
    }

    /// Guards against spending from an allotment that is planned but not committed: an incarnation
    /// whose first report loses conflicts with others holds nothing yet.
    void incarnationWithoutACommittedReportSpendsNothing()
    {
        forEachSeed(2, [](int seed) {
            FleetScenario scenario(seed, LargeFleet);
            scenario.requests.run(Base::Milliseconds(3'000), 1);
            checkNoOverdrafts(scenario.fleet);
        });
    }

    /// Guards against conflicting reports in a large fleet that leave most instances without an
    /// allotment: 71 instances start at the same time under normal load.
    void largeFleetRefusesNothingWithinTheWriteLimit()
    {
        forEachSeed(2, [](int seed) {
            FleetScenario scenario(seed, LargeFleet);
            scenario.world.run(Base::Milliseconds(10'000));
            const auto writes = scenario.fleet.table().writes;
            scenario.requests.run(Base::Milliseconds(10'000), 1);
            const auto perSecond = (scenario.fleet.table().writes - writes) / 10;
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} writes a second", perSecond), perSecond <= WritesPerSecond);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), scenario.fleet.counts().refused());
        });
    }

    /// All instances lose the table for nine seconds, twice, under normal load.
    void repeatedOutagesRefuseNothing()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            for (const auto before : {5'500, 9'500}) {
                scenario.requests.run(Base::Milliseconds(before), 1);
                scenario.fleet.table().isDown = true;
                scenario.requests.run(Base::Milliseconds(9'000), 1);
                scenario.fleet.table().isDown = false;
            }
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), scenario.fleet.counts().refused());
        });
    }

    /// One team sends 2.7 times its normal load while the table is unreachable.
    void hotTeamIsServedDuringAnOutage()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(Base::Milliseconds(3'000), 1);
            scenario.fleet.table().isDown = true;
            scenario.requests.run(Base::Milliseconds(6'000), 2.7);
            const auto refused = scenario.fleet.counts().refused();
            // The tokens held by other instances suffice, so at most one in twenty may be refused.
            CPPUNIT_ASSERT_MESSAGE(fmt::format("refused {}", refused),
                refused * 20 <= scenario.fleet.counts().granted + refused);
        });
    }

    /// A third of the tokens remains, one team sends 2.4 times its normal load, and the table is
    /// unreachable for four seconds.
    void hotTeamIsServedDuringAnOutageWithAThirdRemaining()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            runOutageWithAThirdRemaining(scenario, Base::Milliseconds(4'000), 2.4);
        });
    }

    /// A team has no tokens left while the table is unreachable. Its requests are refused within
    /// the time of the loan requests.
    void exhaustedBudgetIsRefusedAtOnceDuringAnOutage()
    {
        FleetScenario scenario(3);
        scenario.requests.run(Base::Milliseconds(90'000), 1.5);
        scenario.world.run(Base::Milliseconds(4'000));
        scenario.fleet.table().isDown = true;
        scenario.world.run(Base::Milliseconds(100));
        const auto before = scenario.fleet.counts();
        for (int n = 0; n < Instances; ++n)
            scenario.fleet.request(n, LargestRequest);
        scenario.world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(Instances), scenario.fleet.counts().refused() - before.refused());
    }

    /// A team sends requests until nothing is left. At most 3 % of the tokens may stay unused.
    void nearlyAllTokensAreUsable()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(
                Base::Milliseconds(90'000), 1, [&] { checkNoOverspend(scenario.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", scenario.fleet.used()),
                scenario.fleet.used() * 100 >= scenario.fleet.prepaid() * 97);
        });
    }

    /// The same in a large fleet, where most instances borrow.
    void nearlyAllTokensAreUsableInALargeFleet()
    {
        forEachSeed(4, [](int seed) {
            FleetScenario scenario(seed, LargeFleet);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(
                Base::Milliseconds(90'000), 1, [&] { checkNoOverspend(scenario.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", scenario.fleet.used()),
                scenario.fleet.used() * 100 >= scenario.fleet.prepaid() * 97);
        });
    }

    /// All instances of a large fleet lose the table for nine seconds.
    void outageRefusesNothingInALargeFleet()
    {
        forEachSeed(4, [](int seed) {
            FleetScenario scenario(seed, LargeFleet);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(Base::Milliseconds(5'000), 1);
            scenario.fleet.table().isDown = true;
            scenario.requests.run(Base::Milliseconds(9'000), 1);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), scenario.fleet.counts().refused());
        });
    }

    /// A third of the tokens remains and a large fleet loses the table for nine seconds under
    /// normal load.
    void largeFleetIsServedDuringAnOutageWithAThirdRemaining()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed, LargeFleet);
            runOutageWithAThirdRemaining(scenario, Base::Milliseconds(9'000), 1);
        });
    }

    /// All processes die at once after a third of a day, and start again within a second.
    void mostTokensAreUsableAfterAllInstancesDied()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(Base::Milliseconds(15'000), 1);
            const auto after = restartAllAndUseRemaining(
                scenario, Base::Milliseconds(800), Base::Milliseconds(90'000));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {}", after.used, after.remaining),
                after.used * 2 >= after.remaining);
        });
    }

    void drainedInstanceLeavesNoAllotment()
    {
        FleetScenario scenario(1);
        scenario.requests.run(Base::Milliseconds(5'000), 1);
        scenario.world.run(Base::Milliseconds(4'000));
        bool isReturned = false;
        scenario.fleet.holder(0).returnAll([&](bool isDone) { isReturned = isDone; });
        scenario.world.run(Base::Milliseconds(1'000));
        CPPUNIT_ASSERT(isReturned);
        const auto row = scenario.fleet.table().range("allotment/").front().value;
        CPPUNIT_ASSERT(row.find(AllotmentFleet::nameOf(0) + "\"") == std::string::npos);
    }

    /// Guards against an instance that says it has returned its tokens when only a report ended
    /// that had begun before the stop.
    void drainDuringAReportLeavesNoAllotment()
    {
        forEachSeed(50, [](int seed) {
            FleetScenario scenario(seed, 2);
            scenario.fleet.table().extraDelay = Base::Milliseconds(50);
            // The stops are spread over the interval of the reports.
            scenario.requests.run(Base::Milliseconds(5'000), 1);
            scenario.world.run(Base::Milliseconds(10 * seed));
            bool isReturned = false;
            bool isInRow = true;
            // The process ends with the callback.
            scenario.fleet.holder(0).returnAll([&](bool isDone) {
                isReturned = isDone;
                const auto row = scenario.fleet.table().range("allotment/").front().value;
                isInRow = row.find(AllotmentFleet::nameOf(0) + "\"") != std::string::npos;
            });
            scenario.world.run(Base::Milliseconds(3'000));
            CPPUNIT_ASSERT(isReturned);
            CPPUNIT_ASSERT(!isInRow);
        });
    }

    /// Guards against a stop whose returning report loses every conflict against the reports of the
    /// others until the process is killed: eight instances and a slow table.
    void drainWithASlowTableLeavesNoAllotment()
    {
        constexpr Base::Milliseconds Grace{8'000};
        forEachSeed(50, [&](int seed) {
            FleetScenario scenario(seed);
            scenario.fleet.table().extraDelay = Base::Milliseconds(80);
            scenario.requests.run(Base::Milliseconds(5'000 + 20 * seed), 1);
            bool isReturned = false;
            scenario.fleet.holder(0).returnAll([&](bool isDone) { isReturned = isDone; });
            scenario.world.run(Grace);
            CPPUNIT_ASSERT(isReturned);
            const auto row = scenario.fleet.table().range("allotment/").front().value;
            CPPUNIT_ASSERT(row.find(AllotmentFleet::nameOf(0) + "\"") == std::string::npos);
        });
    }

    /// An instance restarts while the table is unreachable for all, so it has no allotment.
    void newInstanceBorrowsWhileTheTableIsUnreachable()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(Base::Milliseconds(4'000), 1);
            scenario.fleet.table().isDown = true;
            scenario.fleet.kill(0);
            scenario.fleet.start(0);
            scenario.requests.run(Base::Milliseconds(8'000), 1);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), scenario.fleet.counts().refused());
        });
    }

    /// Half of the instances are restarted in turn while the table is unreachable for all.
    void drainDuringAnOutageLosesFewTokens()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            scenario.requests.run(Base::Milliseconds(4'000), 1);
            scenario.fleet.table().isDown = true;
            scenario.requests.run(Base::Milliseconds(5'000), 1);
            for (int n = 0; n < Instances / 2; ++n) {
                scenario.fleet.holder(n).returnAll([](bool) {});
                scenario.world.run(Base::Milliseconds(500));
                scenario.fleet.kill(n);
                scenario.fleet.start(n);
            }
            scenario.requests.run(Base::Milliseconds(1'000), 1);
            scenario.fleet.table().isDown = false;
            scenario.requests.run(
                Base::Milliseconds(90'000), 1, [&] { checkNoOverspend(scenario.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", scenario.fleet.used()),
                scenario.fleet.used() * 100 >= scenario.fleet.prepaid() * 97);
        });
    }

    /// All processes die at once when a third of the tokens remains.
    void fewTokensAreLostWhenAllInstancesDieLate()
    {
        forEachSeed(10, [](int seed) {
            FleetScenario scenario(seed);
            scenario.world.run(Base::Milliseconds(10'000));
            while (scenario.fleet.used() * 3 < scenario.fleet.prepaid() * 2)
                scenario.requests.run(Base::Milliseconds(500), 1);
            const auto after = restartAllAndUseRemaining(
                scenario, Base::Milliseconds(1'000), Base::Milliseconds(60'000));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {}", after.used, after.remaining),
                after.used * 3 >= after.remaining * 2);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllotmentTest);

} // namespace Carawaykeel::Tests
