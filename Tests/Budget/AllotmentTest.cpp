#include <Support/AllotmentFleet.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int Instances = 8;
/// Three times as many as hold allotments of one team.
constexpr int MediumFleet = 24;
constexpr int LargeFleet = 71;
/// Transactions that one part of the platform's table takes in a second.
constexpr std::uint64_t WritesPerSecond = 250;
/// Shape of Lisovna Hub's mean team: a third of a day's tokens in each 13 s, in lumps.
constexpr std::int64_t Prepaid = 1'060'000;
constexpr std::int64_t TokensPerSecond = 26'500;
constexpr std::int64_t MeanRequest = 3'000;
constexpr std::int64_t LargestRequest = 40'000;

/// Requests of one team at all instances, spread unevenly, some of them large.
class Demand
{
public:
    Demand(VirtualWorld &world, AllotmentFleet &fleet, int instances)
        : m_world(world)
        , m_fleet(fleet)
        , m_instances(instances)
    {
    }

    void run(Base::Milliseconds span, double times, const std::function<void()> &check = {})
    {
        const auto end = m_world.now() + span;
        while (m_world.now() < end) {
            const auto gap =
                static_cast<std::int64_t>(1'000.0 * MeanRequest / (TokensPerSecond * times) / 0.75);
            m_world.run(Base::Milliseconds(m_world.draw(1, 2 * gap)), check);
            // Draws the lower of two, so that some instances get more than others.
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

/// A fleet with its callers, in a world of its own.
struct Day
{
    explicit Day(int seed, int instances = Instances)
        : world(static_cast<std::uint64_t>(seed))
        , fleet(world, instances, Prepaid)
        , demand(world, fleet, instances)
    {
    }

    VirtualWorld world;
    AllotmentFleet fleet;
    Demand demand;
};

void checkBooks(const AllotmentFleet &fleet)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("used {} of {}", fleet.used(), fleet.prepaid()),
        fleet.used() <= fleet.prepaid());
}

/// Nobody may spend what the table does not set aside for it.
void checkCover(const AllotmentFleet &fleet)
{
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} overdrafts", fleet.overdrafts()), fleet.overdrafts() == 0);
}

/// One step of trouble, of every kind that allotments must bear.
void trouble(VirtualWorld &world, AllotmentFleet &fleet, int instances)
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
        fleet.freeze(instance, Base::Milliseconds(world.draw(100, 12'000)));
        break;
    case 3:
        fleet.table().isDown = !fleet.table().isDown;
        break;
    case 4:
        fleet.table().answerLoss = world.happens(0.5) ? 0.4 : 0;
        fleet.table().lateEffect = world.happens(0.5) ? 0.3 : 0;
        break;
    case 5:
        fleet.table().cut.insert(AllotmentFleet::nameOf(instance));
        break;
    case 6:
        fleet.table().cut.clear();
        break;
    case 7:
        fleet.network().setCut(
            AllotmentFleet::nameOf(instance), AllotmentFleet::nameOf(other), world.happens(0.5));
        break;
    case 8:
        if (fleet.isAlive(instance))
            fleet.holder(instance).returnAll([](bool) {});
        break;
    default:
        fleet.table().slowness = Base::Milliseconds(world.draw(0, 400));
        break;
    }
}

void chaos(int seed, Mutation mutation, int instances = Instances)
{
    Day day(seed, instances);
    day.fleet.table().mutation = mutation;
    day.fleet.network().loss = 0.03;
    day.fleet.network().doubling = 0.05;
    for (int step = 0; step < 60; ++step) {
        day.demand.run(
            Base::Milliseconds(day.world.draw(100, 1'500)), 4, [&] { checkBooks(day.fleet); });
        trouble(day.world, day.fleet, instances);
    }
}

/// Pattern: the table is away for nine seconds, and at their end all processes die at once.
void dieInAnOutage(int seed, Mutation mutation)
{
    Day day(seed);
    day.fleet.table().mutation = mutation;
    day.world.run(Base::Milliseconds(10'000));
    day.demand.run(Base::Milliseconds(4'000), 1);
    day.fleet.table().isDown = true;
    day.demand.run(Base::Milliseconds(9'000), 1.5);
    day.fleet.killAll();
    day.fleet.table().isDown = false;
    day.world.run(Base::Milliseconds(500));
    day.fleet.startAll();
    day.demand.run(Base::Milliseconds(60'000), 2, [&] { checkBooks(day.fleet); });
}

/// What was left when all had died, and what of it could be used.
struct RestAfterDeath
{
    std::int64_t rest;
    std::int64_t used;
};

/// The team sends until a third of its tokens is left, then the table goes away for a span. A
/// twentieth refused is the target.
void loseTheTableLateInTheDay(Day &day, Base::Milliseconds span, double times)
{
    day.world.run(Base::Milliseconds(10'000));
    while (day.fleet.used() * 3 < day.fleet.prepaid() * 2)
        day.demand.run(Base::Milliseconds(500), times);
    const auto before = day.fleet.counts();
    day.fleet.table().isDown = true;
    day.demand.run(span, times);
    const auto refused = day.fleet.counts().refused() - before.refused();
    const auto granted = day.fleet.counts().granted - before.granted;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("refused {} of {}", refused, refused + granted),
        refused * 20 <= granted + refused);
}

/// All processes die at once, are away for a while, and callers go on for a span.
RestAfterDeath dieAndUseTheRest(Day &day, Base::Milliseconds away, Base::Milliseconds span)
{
    day.fleet.killAll();
    day.world.run(away);
    day.fleet.startAll();
    day.world.run(Base::Milliseconds(1'500));
    const auto before = day.fleet.used();
    day.demand.run(span, 1, [&] { checkBooks(day.fleet); });
    return {day.fleet.prepaid() - before, day.fleet.used() - before};
}

} // namespace

/// Allotments that grow with the table's clock: nothing is overspent, little is refused in an
/// outage, little is lost by a death.
class AllotmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AllotmentTest);
    CPPUNIT_TEST(limitGrowsWithTheClockUpToTheWhole);
    CPPUNIT_TEST(nothingIsOverspentInAnyTrouble);
    CPPUNIT_TEST(nothingIsOverspentInALargeFleet);
    CPPUNIT_TEST(booksWithoutConditionsAreNoticed);
    CPPUNIT_TEST(booksWithoutConditionsAreNoticedInALargeFleet);
    CPPUNIT_TEST(deathInAnOutageOverspendsNothing);
    CPPUNIT_TEST(standingClockIsNoticed);
    CPPUNIT_TEST(lifeWithoutACommittedReportSpendsNothing);
    CPPUNIT_TEST(refusedReportLeavesAnEarlierOneOpen);
    CPPUNIT_TEST(largeFleetReportsAndServes);
    CPPUNIT_TEST(outageForAllRefusesNothing);
    CPPUNIT_TEST(hotTeamIsServedThroughAnOutage);
    CPPUNIT_TEST(hotTeamIsServedLateInTheDay);
    CPPUNIT_TEST(emptyBudgetIsRefusedAtOnceInAnOutage);
    CPPUNIT_TEST(nearlyAllIsUsable);
    CPPUNIT_TEST(nearlyAllIsUsableInALargeFleet);
    CPPUNIT_TEST(outageRefusesNothingInALargeFleet);
    CPPUNIT_TEST(lateOutageIsBorneByALargeFleet);
    CPPUNIT_TEST(mostIsUsableAfterAllHaveDied);
    CPPUNIT_TEST(drainedInstanceLeavesNothingBehind);
    CPPUNIT_TEST(newInstanceBorrowsWhileTheTableIsAway);
    CPPUNIT_TEST(drainInAnOutageLosesNothing);
    CPPUNIT_TEST(littleIsLostWhenAllDieLate);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitGrowsWithTheClockUpToTheWhole()
    {
        const Budget::Allotment allotment{{}, Base::Tokens(10), Base::Tokens(5), Base::Tokens(100),
            Base::Milliseconds(2'000), Base::Milliseconds(10'000), Base::Milliseconds(1'000)};
        const auto limit = [&](std::int64_t now) {
            return allotment.limitAt(Base::Milliseconds(now)).count();
        };
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(1'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), limit(3'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(65), limit(8'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(115), limit(60'000));
    }

    void nothingIsOverspentInAnyTrouble()
    {
        forEachSeed(40, [](int seed) { chaos(seed, Mutation::None); });
    }

    void nothingIsOverspentInALargeFleet()
    {
        forEachSeed(10, [](int seed) { chaos(seed, Mutation::None, MediumFleet); });
    }

    void booksWithoutConditionsAreNoticedInALargeFleet()
    {
        expectSomeSeedFails(
            10, [](int seed) { chaos(seed, Mutation::UnconditionalLedger, MediumFleet); });
    }

    void booksWithoutConditionsAreNoticed()
    {
        expectSomeSeedFails(40, [](int seed) { chaos(seed, Mutation::UnconditionalLedger); });
    }

    void deathInAnOutageOverspendsNothing()
    {
        forEachSeed(10, [](int seed) { dieInAnOutage(seed, Mutation::None); });
    }

    void standingClockIsNoticed()
    {
        expectSomeSeedFails(10, [](int seed) { dieInAnOutage(seed, Mutation::StoppedClock); });
    }

    /// Guards against spending by an allotment that the table no longer holds: a report without an
    /// answer lands after a later one was turned away.
    void refusedReportLeavesAnEarlierOneOpen()
    {
        forEachSeed(20, [](int seed) {
            Day day(seed);
            day.fleet.table().refusal = 0.95;
            day.fleet.table().lateEffect = 0.3;
            day.demand.run(Base::Milliseconds(60'000), 3);
            checkCover(day.fleet);
        });
    }

    /// Guards against spending by an allotment that is planned and not committed: a new life whose
    /// report loses against those of others holds nothing yet.
    void lifeWithoutACommittedReportSpendsNothing()
    {
        forEachSeed(2, [](int seed) {
            Day day(seed, LargeFleet);
            day.demand.run(Base::Milliseconds(3'000), 1);
            checkCover(day.fleet);
        });
    }

    /// Guards against reports of a large fleet that cross each other until most instances hold
    /// nothing. Pattern: 71 instances start together, their team sends as usual.
    void largeFleetReportsAndServes()
    {
        forEachSeed(2, [](int seed) {
            Day day(seed, LargeFleet);
            day.world.run(Base::Milliseconds(10'000));
            const auto writes = day.fleet.table().writes;
            day.demand.run(Base::Milliseconds(10'000), 1);
            const auto perSecond = (day.fleet.table().writes - writes) / 10;
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} writes a second", perSecond), perSecond <= WritesPerSecond);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), day.fleet.counts().refused());
        });
    }

    /// Pattern: all instances lose the table for nine seconds, twice, under the usual demand.
    void outageForAllRefusesNothing()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            for (const auto before : {5'500, 9'500}) {
                day.demand.run(Base::Milliseconds(before), 1);
                day.fleet.table().isDown = true;
                day.demand.run(Base::Milliseconds(9'000), 1);
                day.fleet.table().isDown = false;
            }
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), day.fleet.counts().refused());
        });
    }

    /// Pattern: one team sends 2.7 times its usual while the table is away.
    void hotTeamIsServedThroughAnOutage()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(3'000), 1);
            day.fleet.table().isDown = true;
            day.demand.run(Base::Milliseconds(6'000), 2.7);
            const auto refused = day.fleet.counts().refused();
            // What is left with others could have served them; a twentieth is the target.
            CPPUNIT_ASSERT_MESSAGE(fmt::format("refused {}", refused),
                refused * 20 <= day.fleet.counts().granted + refused);
        });
    }

    /// Pattern: a third of the tokens is left, one team sends 2.4 times its usual, and the table
    /// goes away for four seconds.
    void hotTeamIsServedLateInTheDay()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            loseTheTableLateInTheDay(day, Base::Milliseconds(4'000), 2.4);
        });
    }

    /// Pattern: a team has nothing left and the table is away. What cannot be served is told so
    /// within the time of the loans that are tried.
    void emptyBudgetIsRefusedAtOnceInAnOutage()
    {
        Day day(3);
        day.demand.run(Base::Milliseconds(90'000), 1.5);
        day.world.run(Base::Milliseconds(4'000));
        day.fleet.table().isDown = true;
        day.world.run(Base::Milliseconds(100));
        const auto before = day.fleet.counts();
        for (int n = 0; n < Instances; ++n)
            day.fleet.request(n, LargestRequest);
        day.world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(Instances), day.fleet.counts().refused() - before.refused());
    }

    /// Pattern: a team sends until nothing is left. At most 3 in 100 may stay unusable.
    void nearlyAllIsUsable()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(90'000), 1, [&] { checkBooks(day.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", day.fleet.used()),
                day.fleet.used() * 100 >= day.fleet.prepaid() * 97);
        });
    }

    /// The same in a large fleet, where most instances borrow. At most 3 in 100 may stay unusable.
    void nearlyAllIsUsableInALargeFleet()
    {
        forEachSeed(4, [](int seed) {
            Day day(seed, LargeFleet);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(90'000), 1, [&] { checkBooks(day.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", day.fleet.used()),
                day.fleet.used() * 100 >= day.fleet.prepaid() * 97);
        });
    }

    /// Pattern: all instances of a large fleet lose the table for nine seconds.
    void outageRefusesNothingInALargeFleet()
    {
        forEachSeed(4, [](int seed) {
            Day day(seed, LargeFleet);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(5'000), 1);
            day.fleet.table().isDown = true;
            day.demand.run(Base::Milliseconds(9'000), 1);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), day.fleet.counts().refused());
        });
    }

    /// Pattern: a third of the tokens is left, the table goes away for nine seconds for a large
    /// fleet and the team sends as usual.
    void lateOutageIsBorneByALargeFleet()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed, LargeFleet);
            loseTheTableLateInTheDay(day, Base::Milliseconds(9'000), 1);
        });
    }

    /// Pattern: all processes die at once after a third of a day, and start again within a second.
    void mostIsUsableAfterAllHaveDied()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(15'000), 1);
            const auto after =
                dieAndUseTheRest(day, Base::Milliseconds(800), Base::Milliseconds(90'000));
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} of {}", after.used, after.rest), after.used * 2 >= after.rest);
        });
    }

    void drainedInstanceLeavesNothingBehind()
    {
        Day day(1);
        day.demand.run(Base::Milliseconds(5'000), 1);
        day.world.run(Base::Milliseconds(4'000));
        bool isHandedBack = false;
        day.fleet.holder(0).returnAll([&](bool isDone) { isHandedBack = isDone; });
        day.world.run(Base::Milliseconds(1'000));
        CPPUNIT_ASSERT(isHandedBack);
        const auto row = day.fleet.table().range("allotment/").front().value;
        CPPUNIT_ASSERT(row.find(AllotmentFleet::nameOf(0) + "\"") == std::string::npos);
    }

    /// Pattern: an instance starts again while the table is away for all; it holds nothing.
    void newInstanceBorrowsWhileTheTableIsAway()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(4'000), 1);
            day.fleet.table().isDown = true;
            day.fleet.kill(0);
            day.fleet.start(0);
            day.demand.run(Base::Milliseconds(8'000), 1);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), day.fleet.counts().refused());
        });
    }

    /// Pattern: half of the instances are restarted in turn while the table is away for all.
    void drainInAnOutageLosesNothing()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            day.demand.run(Base::Milliseconds(4'000), 1);
            day.fleet.table().isDown = true;
            day.demand.run(Base::Milliseconds(5'000), 1);
            for (int n = 0; n < Instances / 2; ++n) {
                day.fleet.holder(n).returnAll([](bool) {});
                day.world.run(Base::Milliseconds(500));
                day.fleet.kill(n);
                day.fleet.start(n);
            }
            day.demand.run(Base::Milliseconds(1'000), 1);
            day.fleet.table().isDown = false;
            day.demand.run(Base::Milliseconds(90'000), 1, [&] { checkBooks(day.fleet); });
            CPPUNIT_ASSERT_MESSAGE(fmt::format("used {}", day.fleet.used()),
                day.fleet.used() * 100 >= day.fleet.prepaid() * 97);
        });
    }

    /// Pattern: all processes die at once when a third of the tokens is left.
    void littleIsLostWhenAllDieLate()
    {
        forEachSeed(10, [](int seed) {
            Day day(seed);
            day.world.run(Base::Milliseconds(10'000));
            while (day.fleet.used() * 3 < day.fleet.prepaid() * 2)
                day.demand.run(Base::Milliseconds(500), 1);
            const auto after =
                dieAndUseTheRest(day, Base::Milliseconds(1'000), Base::Milliseconds(60'000));
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} of {}", after.used, after.rest), after.used * 3 >= after.rest * 2);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllotmentTest);

} // namespace Carawaykeel::Tests
