#include <Carawaykeel/Platform/RowCodec.h>
#include <Support/AllotmentFleet.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int SmallFleet = 8;
constexpr int LargeFleet = 71;
constexpr std::int64_t Prepaid = 1'060'000;
/// Mean time between requests: the team's tokens last for about a minute, or ten times as long.
constexpr std::int64_t BusyGapMs = 150;
constexpr std::int64_t CalmGapMs = 1'500;
constexpr std::int64_t LargestRequest = 13'000;
/// Power cuts of all processes last 1.5 to 5 s.
constexpr Base::Milliseconds PowerCut{4'000};
/// Within this time all requests have ended.
constexpr Base::Milliseconds RequestTime{4'000};
/// What the shutdown timeout of 8 s leaves for the return when requests end early.
constexpr Base::Milliseconds ReturnTime{5'200};
/// Requirement: this long after the processes are back, what they lost is known.
constexpr Base::Milliseconds RecoveryTime{5'000};
/// Requirement: the part of the prepaid tokens that may be unusable after that time, in percent.
constexpr std::int64_t MaxUnusablePercent = 3;

/// One team under steady load.
struct SteadyTeam
{
    SteadyTeam(int seed, int instances, std::int64_t meanGap)
        : world(static_cast<std::uint64_t>(seed))
        , fleet(world, instances, Prepaid)
        , instanceCount(instances)
        , meanGapMs(meanGap)
    {
    }

    /// Sends requests that use 2,800 tokens on average.
    void run(Base::Milliseconds span)
    {
        const auto end = world.now() + span;
        while (world.now() < end) {
            world.run(Base::Milliseconds(world.draw(1, 2 * meanGapMs)));
            const auto tokens = world.happens(0.1) ? LargestRequest : world.draw(500, 5'000);
            fleet.request(static_cast<int>(world.draw(0, instanceCount - 1)), tokens);
        }
    }

    /// Returns the tokens that the ledger counts as spent and no request has used. Requests must
    /// have ended.
    std::int64_t unusable() const
    {
        const auto row = Platform::decodeRow<Budget::AllotmentRow>(
            fleet.table().range("allotment/").front().value);
        return (row.totalAllotted() - row.unspent()).count() - fleet.used();
    }

    VirtualWorld world;
    mutable AllotmentFleet fleet;
    const int instanceCount;
    const std::int64_t meanGapMs;
};

/// Ends all processes for `PowerCut` and returns what is unusable when they have recovered.
std::int64_t unusableAfterPowerCut(int seed, int instances, std::int64_t meanGapMs)
{
    SteadyTeam team(seed, instances, meanGapMs);
    team.world.run(Base::Milliseconds(5'000));
    team.run(Base::Milliseconds(15'000 + 20 * seed));
    team.fleet.killAll();
    team.world.run(PowerCut);
    team.fleet.startAll();
    team.world.run(RecoveryTime);
    CPPUNIT_ASSERT(team.fleet.used() <= Prepaid);
    return team.unusable();
}

/// Fails unless the mean of ten seeds is at most MaxUnusablePercent of the prepaid tokens.
void checkMeanUnusable(int instances, std::int64_t meanGapMs)
{
    std::int64_t sum = 0;
    std::int64_t runs = 0;
    forEachSeed(10, [&](int seed) {
        sum += unusableAfterPowerCut(seed, instances, meanGapMs);
        ++runs;
    });
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {} unusable", sum / runs, Prepaid),
        sum * 100 <= Prepaid * runs * MaxUnusablePercent);
}

} // namespace

/// Tokens that nobody can spend after deaths.
class UnusableTokensTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnusableTokensTest);
    CPPUNIT_TEST(powerCutCostsABusyTeamLittle);
    CPPUNIT_TEST(powerCutOfALargeFleetCostsABusyTeamLittle);
    CPPUNIT_TEST(powerCutCostsACalmTeamLittle);
    CPPUNIT_TEST(stopRepeatsAReturnWithoutReply);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against growth that makes a whole allotment spendable within seconds.
    void powerCutCostsABusyTeamLittle() { checkMeanUnusable(SmallFleet, BusyGapMs); }

    void powerCutOfALargeFleetCostsABusyTeamLittle() { checkMeanUnusable(LargeFleet, BusyGapMs); }

    /// Guards against growth that does not depend on use: a calm team would lose as much.
    void powerCutCostsACalmTeamLittle() { checkMeanUnusable(SmallFleet, CalmGapMs); }

    /// Guards against a stop whose returning commit gets no reply: the tokens stay allotted, or are
    /// counted as spent twice.
    void stopRepeatsAReturnWithoutReply()
    {
        forEachSeed(40, [](int seed) {
            SteadyTeam team(seed, SmallFleet, BusyGapMs);
            team.run(Base::Milliseconds(10'000 + 20 * seed));
            team.world.run(RequestTime);
            const auto before = team.unusable();
            team.fleet.table().replyLoss = seed % 2 == 0 ? 1 : 0.6;
            team.fleet.table().lateCommit = seed % 2 == 0 ? 0 : 0.4;
            bool isReturned = false;
            team.fleet.holder(0).returnAll([&](bool isDone) { isReturned = isDone; });
            team.world.run(ReturnTime);
            team.fleet.kill(0);
            CPPUNIT_ASSERT(isReturned);
            const auto row = team.fleet.table().range("allotment/").front().value;
            CPPUNIT_ASSERT(row.find(AllotmentFleet::nameOf(0) + "\"") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} before, {} after", before, team.unusable()),
                team.unusable() - before <= Prepaid / 100);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnusableTokensTest);

} // namespace Carawaykeel::Tests
