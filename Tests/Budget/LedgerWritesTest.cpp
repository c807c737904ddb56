#include <Carawaykeel/Platform/RowCodec.h>

#include <Support/AllotmentFleet.h>
#include <Support/SeedRange.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <optional>
#include <set>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::TeamId Team("team-0");
/// A stream that holds much and uses little.
constexpr std::int64_t LongHold = 150'000;
constexpr std::int64_t LongUse = 1'150;

void checkNoOverspend(const AllotmentFleet &fleet)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("used {} of {}", fleet.used(), fleet.prepaid()),
        fleet.used() <= fleet.prepaid());
}

Budget::AllotmentRow rowOf(AllotmentFleet &fleet)
{
    const auto rows = fleet.table().range("allotment/");
    return rows.empty() ? Budget::AllotmentRow()
                        : Platform::decodeRow<Budget::AllotmentRow>(rows.front().value);
}

/// Checks that no token is in two places: used, in an instance's memory, in a message, or in the
/// row for any instance to take.
void checkNoTokenTwice(AllotmentFleet &fleet)
{
    const auto free =
        std::max<std::int64_t>(fleet.prepaid() - rowOf(fleet).totalAllotted().count(), 0);
    const auto sum = fleet.used() + fleet.tokensInMemory() + fleet.tokensInMessages() + free;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {}, {} in memory, {} free", sum, fleet.prepaid(),
                               fleet.tokensInMemory(), free),
        sum <= fleet.prepaid());
}

/// Sends requests to some instances until they are refused everywhere.
void useUp(VirtualWorld &world, AllotmentFleet &fleet, const std::vector<int> &instances,
    std::int64_t tokens)
{
    auto granted = fleet.counts().granted;
    do {
        granted = fleet.counts().granted;
        for (int n = 0; n < 20; ++n) {
            for (const auto instance : instances)
                fleet.requestUsing(instance, tokens, tokens, Base::Milliseconds(50));
            world.run(Base::Milliseconds(100));
        }
    } while (fleet.counts().granted > granted);
}

/// Draws events and faults for a fleet, and keeps track of who stops.
class RandomEvents
{
public:
    struct Options
    {
        int instances = 0;
        /// Instances stop and start again.
        bool hasStops = false;
        /// Instances lose power, so that tokens in memory are lost. Some rounds take longer than
        /// the row names closings.
        bool hasPowerCuts = false;
    };

    RandomEvents(int seed, const Options &options)
        : m_world(static_cast<std::uint64_t>(seed))
        , m_options(options)
        , m_fleet(m_world, options.instances, 0)
    {
        // Repayments that overtake one another are lost.
        m_fleet.network().maxDelay = Base::Milliseconds(1);
    }

    AllotmentFleet &fleet() { return m_fleet; }

    void runRounds(int rounds)
    {
        for (int n = 0; n < rounds; ++n) {
            // Each round begins with tokens and ends, on most seeds, without.
            m_fleet.topUp(TokensPerRound);
            m_requestsPerEvent = m_world.draw(2, 12);
            const auto maxGap = m_options.hasPowerCuts && m_world.happens(0.3) ? 1'500 : 250;
            for (int k = 0; k < EventsPerRound; ++k) {
                drawEvent();
                advance(Base::Milliseconds(m_world.draw(1, maxGap)));
            }
            endFaults();
            restartStopped();
        }
    }

    /// Lets all requests end and stops all instances, so that the row is all that is left.
    void bringToRest()
    {
        endFaults();
        for (int n = 0; n < m_options.instances; ++n)
            stop(n);
        advance(Base::Milliseconds(20'000));
    }

private:
    /// Longer than any request, outage and delayed commit that an event causes.
    static constexpr Base::Milliseconds CalmTime{12'000};
    static constexpr Base::Milliseconds CheckInterval{50};
    static constexpr std::int64_t TokensPerRound = 600'000;
    static constexpr int EventsPerRound = 60;

    void advance(Base::Milliseconds span)
    {
        const auto end = m_world.now() + span;
        while (m_world.now() < end) {
            m_world.run(std::min(CheckInterval, end - m_world.now()),
                [this] { checkNoOverspend(m_fleet); });
            checkNoTokenTwice(m_fleet);
        }
    }

    bool isActive(int instance) const
    {
        return m_fleet.isAlive(instance) && !m_stopped.contains(instance);
    }

    void stop(int instance)
    {
        if (isActive(instance) && m_stopped.insert(instance).second)
            m_fleet.holder(instance).returnAll([](bool) {});
    }

    void endFaults()
    {
        auto &table = m_fleet.table();
        table.isDown = false;
        table.disconnectedClients.clear();
        table.replyLoss = 0;
        table.lateCommit = 0;
        table.refusal = 0;
        table.extraDelay = {};
        advance(CalmTime);
    }

    void restartStopped()
    {
        for (int n = 0; n < m_options.instances; ++n) {
            if (m_stopped.contains(n))
                m_fleet.kill(n);
        }
        for (int n = 0; n < m_options.instances; ++n) {
            if (!m_fleet.isAlive(n) && m_world.happens(0.8)) {
                m_stopped.erase(n);
                m_fleet.start(n);
            }
        }
    }

    void sendRequests()
    {
        for (auto n = m_world.draw(1, m_requestsPerEvent); n > 0; --n) {
            const auto instance = static_cast<int>(m_world.draw(0, m_options.instances - 1));
            if (!isActive(instance))
                continue;
            if (m_world.happens(0.15)) {
                m_fleet.requestUsing(instance, m_world.draw(5'000, LongHold),
                    m_world.draw(0, LongUse), Base::Milliseconds(m_world.draw(50, 5'000)));
            } else {
                const auto tokens = m_world.draw(200, 4'000);
                m_fleet.requestUsing(
                    instance, tokens, tokens, Base::Milliseconds(m_world.draw(20, 1'500)));
            }
        }
    }

    void drawFault()
    {
        auto &table = m_fleet.table();
        const auto instance = static_cast<int>(m_world.draw(0, m_options.instances - 1));
        switch (m_world.draw(0, 6)) {
        case 0:
            table.replyLoss = m_world.happens(0.5) ? 0.4 : 0;
            break;
        case 1:
            table.lateCommit = m_world.happens(0.5) ? 0.3 : 0;
            break;
        case 2:
            table.refusal = m_world.happens(0.5) ? 0.5 : 0;
            break;
        case 3:
            table.extraDelay = Base::Milliseconds(m_world.draw(0, 200));
            break;
        case 4:
            table.isDown = m_world.happens(0.4);
            break;
        case 5:
            table.disconnectedClients.insert(AllotmentFleet::nameOf(instance));
            break;
        default:
            table.disconnectedClients.clear();
            break;
        }
    }

    void drawEvent()
    {
        sendRequests();
        if (m_world.happens(0.5))
            drawFault();
        const auto instance = static_cast<int>(m_world.draw(0, m_options.instances - 1));
        if (m_options.hasStops && m_world.happens(0.1))
            stop(instance);
        if (m_options.hasPowerCuts && m_world.happens(0.1)) {
            if (m_fleet.isAlive(instance)) {
                m_fleet.kill(instance);
            } else {
                m_stopped.erase(instance);
                m_fleet.start(instance);
            }
        }
    }

    VirtualWorld m_world;
    const Options m_options;
    AllotmentFleet m_fleet;
    std::set<int> m_stopped;
    std::int64_t m_requestsPerEvent = 0;
};

constexpr int SmallFleet = 5;
/// More instances than hold allotments of one team.
constexpr int MediumFleet = 11;

} // namespace

/// What an instance spends and returns while the fate of a write of the ledger is unknown.
class LedgerWritesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerWritesTest);
    CPPUNIT_TEST(tokensThatAreBeingReturnedAreNotSpent);
    CPPUNIT_TEST(stoppingInstanceReturnsItsTokensOnce);
    CPPUNIT_TEST(holderChangesOverspendNothing);
    CPPUNIT_TEST(stopsCountEachTokenOnce);
    CPPUNIT_TEST(powerCutsOverspendNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an instance without an allotment that spends tokens which the commit in
    /// progress gives to the others.
    void tokensThatAreBeingReturnedAreNotSpent()
    {
        constexpr int Added = 8;
        for (int instance = 0; instance < Added; ++instance) {
            VirtualWorld world(1);
            AllotmentFleet fleet(world, Added + 1, 600'000);
            fleet.kill(Added);
            world.run(Base::Milliseconds(4'000));
            std::optional<Budget::TokenHold> longHold;
            fleet.holder(instance).hold(
                Team, Base::Tokens(2 * LongHold), [&](Base::Outcome<Budget::TokenHold> outcome) {
                    longHold = std::get<Budget::TokenHold>(outcome);
                });
            world.run(Base::Milliseconds(1'000));
            // From nine instances on only a few hold allotments of a team.
            fleet.start(Added);
            world.run(Base::Milliseconds(2'000));
            std::vector<int> others;
            for (int n = 0; n < Added; ++n) {
                if (n != instance)
                    others.push_back(n);
            }
            useUp(world, fleet, others, 2'000);
            // The request ends without having used anything, and the table becomes slow.
            fleet.holder(instance).settle(*longHold, Base::Tokens());
            fleet.table().extraDelay = Base::Milliseconds(120);
            for (int n = 0; n < 400; ++n) {
                fleet.requestUsing(instance, 2'000, 2'000, Base::Milliseconds(50));
                for (const auto other : others)
                    fleet.requestUsing(other, 20'000, 20'000, Base::Milliseconds(50));
                world.run(Base::Milliseconds(10), [&] { checkNoOverspend(fleet); });
            }
            useUp(world, fleet, others, 1'000);
            checkNoOverspend(fleet);
        }
    }

    /// Guards against a stopping instance that returns tokens a second time after others have
    /// closed its allotment by its final report.
    void stoppingInstanceReturnsItsTokensOnce()
    {
        constexpr int Instances = 3;
        VirtualWorld world(1);
        AllotmentFleet fleet(world, Instances, 400'000);
        const auto name = AllotmentFleet::nameOf(0);
        world.run(Base::Milliseconds(3'000));
        fleet.requestUsing(0, LongHold, LongUse, Base::Milliseconds(2'250));
        // Between two reports of the others.
        world.run(Base::Milliseconds(2'200));
        // The table can be read, and turns the commit away that returns the tokens.
        const auto reads = fleet.table().reads;
        fleet.holder(0).returnAll([](bool) {});
        while (fleet.table().reads == reads)
            world.run(Base::Milliseconds(1));
        fleet.table().disconnectedClients.insert(name);
        world.run(Base::Milliseconds(700));
        fleet.table().disconnectedClients.clear();
        world.run(Base::Milliseconds(3'000));
        useUp(world, fleet, {1, 2}, 1'000);
        checkNoOverspend(fleet);
        for (int n = 1; n < Instances; ++n)
            fleet.holder(n).returnAll([](bool) {});
        world.run(Base::Milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(fleet.used(), rowOf(fleet).totalAllotted().count());
    }

    /// Instances end and are added, so that the holders of the team change while writes are open.
    void holderChangesOverspendNothing()
    {
        forEachSeed(10, [](int seed) {
            RandomEvents events(seed, {MediumFleet, true, false});
            events.runRounds(4);
            checkNoOverspend(events.fleet());
        });
    }

    /// At rest the row counts exactly what was used: no token twice, and none is lost.
    void stopsCountEachTokenOnce()
    {
        for (const int instances : {SmallFleet, MediumFleet}) {
            forEachSeed(10, [instances](int seed) {
                RandomEvents events(seed, {instances, true, false});
                events.runRounds(4);
                events.bringToRest();
                auto &fleet = events.fleet();
                const auto row = rowOf(fleet);
                CPPUNIT_ASSERT(row.allotments.empty());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} instances", instances),
                    fleet.used() + fleet.tokensInMessages(), row.closedSpent.count());
                CPPUNIT_ASSERT_EQUAL(0, fleet.overdrafts());
            });
        }
    }

    /// A power cut loses what only memory held, but the row never counts too few tokens.
    void powerCutsOverspendNothing()
    {
        for (const int instances : {SmallFleet, MediumFleet}) {
            forEachSeed(10, [instances](int seed) {
                RandomEvents events(seed, {instances, true, true});
                events.runRounds(4);
                events.bringToRest();
                auto &fleet = events.fleet();
                CPPUNIT_ASSERT(fleet.used() <= rowOf(fleet).totalAllotted().count());
                checkNoOverspend(fleet);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerWritesTest);

} // namespace Carawaykeel::Tests
