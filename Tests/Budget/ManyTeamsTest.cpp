#include <Support/AllotmentFleet.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int Instances = 3;
constexpr std::int64_t Prepaid = 1'000'000;
constexpr std::int64_t RequestTokens = 1'000;
/// Two entries for each write; the platform takes 100 entries in a call.
constexpr std::size_t WritesPerCall = 50;
/// Requirement: a change of the configuration is in force after this time.
constexpr Base::Milliseconds ChangeTime{3'000};

/// A fleet whose table takes 50 rows in a call.
struct ManyTeams
{
    ManyTeams(int seed, int teams)
        : world(static_cast<std::uint64_t>(seed))
        , fleet(world, Instances, Prepaid, teams)
    {
        fleet.table().limits.maxWrites = WritesPerCall;
    }

    /// Sends a request of each team to each instance and expects that all are granted.
    void expectAllTeamsServed(const std::string &when)
    {
        const auto before = fleet.counts();
        for (int team = 0; team < fleet.teamCount(); ++team) {
            for (int n = 0; n < Instances; ++n)
                fleet.request(n, RequestTokens, team);
        }
        world.run(Base::Milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            when, std::int64_t(0), fleet.counts().refused() - before.refused());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(when, std::int64_t(Instances) * fleet.teamCount(),
            fleet.counts().granted - before.granted);
        for (int team = 0; team < fleet.teamCount(); ++team)
            CPPUNIT_ASSERT(fleet.used(team) <= Prepaid);
    }

    VirtualWorld world;
    AllotmentFleet fleet;
};

} // namespace

/// More teams than one call to the platform's table can write.
class ManyTeamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ManyTeamsTest);
    CPPUNIT_TEST(addedTeamsAreServed);
    CPPUNIT_TEST(teamsAreServedAfterARestartOfAll);
    CPPUNIT_TEST(lostRepliesDelayNoTeamForLong);
    CPPUNIT_TEST(rowsOfManyTeamsFitIntoTheByteLimit);
    CPPUNIT_TEST(stoppedInstanceReturnsAllTeams);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change of the configuration after which no team's row can be written, since
    /// all rows go into one call.
    void addedTeamsAreServed()
    {
        ManyTeams teams(1, 10);
        teams.world.run(ChangeTime);
        teams.expectAllTeamsServed("first teams");
        teams.fleet.setTeamCount(60);
        teams.world.run(ChangeTime);
        teams.expectAllTeamsServed("with the added teams");
        teams.world.run(Base::Milliseconds(20'000));
        teams.expectAllTeamsServed("later");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), teams.fleet.table().oversizedCalls);
    }

    void teamsAreServedAfterARestartOfAll()
    {
        ManyTeams teams(2, 230);
        teams.world.run(ChangeTime);
        teams.expectAllTeamsServed("before");
        teams.fleet.killAll();
        teams.world.run(Base::Milliseconds(1'000));
        teams.fleet.startAll();
        teams.world.run(ChangeTime);
        teams.expectAllTeamsServed("after");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), teams.fleet.table().oversizedCalls);
    }

    /// Guards against failed calls for the first teams that keep the last ones from the table.
    void lostRepliesDelayNoTeamForLong()
    {
        ManyTeams teams(3, 230);
        teams.fleet.table().replyLoss = 0.4;
        teams.world.run(Base::Milliseconds(20'000));
        teams.fleet.table().replyLoss = 0;
        teams.expectAllTeamsServed("after replies were lost");
    }

    void rowsOfManyTeamsFitIntoTheByteLimit()
    {
        ManyTeams teams(4, 60);
        teams.fleet.table().limits.maxBytes = 4'000;
        teams.fleet.table().limits.maxRowBytes = 1'500;
        teams.world.run(ChangeTime);
        teams.expectAllTeamsServed("with a byte limit");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), teams.fleet.table().oversizedCalls);
    }

    void stoppedInstanceReturnsAllTeams()
    {
        ManyTeams teams(5, 120);
        teams.world.run(ChangeTime);
        bool isReturned = false;
        teams.fleet.holder(0).returnAll([&](bool isDone) { isReturned = isDone; });
        teams.world.run(Base::Milliseconds(1'000));
        CPPUNIT_ASSERT(isReturned);
        for (const auto &row : teams.fleet.table().range("allotment/"))
            CPPUNIT_ASSERT(row.value.find(AllotmentFleet::nameOf(0) + "\"") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManyTeamsTest);

} // namespace Carawaykeel::Tests
