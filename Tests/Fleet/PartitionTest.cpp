#include <Support/FaultSchedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

constexpr std::int64_t Hour = 3'600'000;

/// One request a second in turn at each instance.
void spend(VirtualFleet &fleet, std::int64_t milliseconds)
{
    for (std::int64_t passed = 0; passed < milliseconds; passed += 1'000) {
        fleet.request(static_cast<int>(passed / 1'000) % fleet.count(), {});
        fleet.run(1'000);
    }
}

} // namespace

/// An hour's cut with top-ups on both sides, and restarts of the whole fleet.
class PartitionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartitionTest);
    CPPUNIT_TEST(hourLongCutWithTopUpsOnBothSides);
    CPPUNIT_TEST(replayedTopUpCountsOnce);
    CPPUNIT_TEST(wholeFleetRestartsAtOnce);
    CPPUNIT_TEST(deadHoldersTokensAreBackInTenSeconds);
    CPPUNIT_TEST_SUITE_END();

    static void topUp(VirtualFleet &fleet, int n, const std::string &id, int &accepted)
    {
        fleet.at(n).instance().grantHolder().topUps().topUp(Base::BudgetId("budget"),
            {Base::TopUpId(id), Base::Tokens(5'000)},
            [&accepted](const Base::Outcome<Budget::BudgetRow> &outcome) {
                accepted += outcome.index() == 0 ? 1 : 0;
            });
    }

public:
    void hourLongCutWithTopUpsOnBothSides()
    {
        VirtualFleet fleet(1, 6);
        fleet.start(Base::Tokens(100'000));
        spend(fleet, 120'000);
        fleet.partition({0, 3});
        fleet.table.disconnectedClients = {VirtualFleet::nameOf(0), VirtualFleet::nameOf(3)};
        int accepted = 0;
        topUp(fleet, 0, "cut-side", accepted);
        topUp(fleet, 1, "other-side", accepted);
        topUp(fleet, 0, "both", accepted);
        topUp(fleet, 2, "both", accepted);
        spend(fleet, Hour);
        CPPUNIT_ASSERT_EQUAL(2, accepted);
        fleet.network.healPartitions();
        fleet.table.disconnectedClients.clear();
        topUp(fleet, 0, "cut-side", accepted);
        topUp(fleet, 0, "both", accepted);
        spend(fleet, 60'000);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(115'000), fleet.budgetRow().toppedUp.count());
    }

    void replayedTopUpCountsOnce()
    {
        VirtualFleet fleet(2, 4);
        fleet.start(Base::Tokens(10'000));
        fleet.table.replyLoss = 0.7;
        int accepted = 0;
        for (int n = 0; n < 12; ++n) {
            topUp(fleet, n % 4, "again", accepted);
            fleet.run(700);
        }
        fleet.table.replyLoss = 0;
        topUp(fleet, 0, "again", accepted);
        fleet.request(0, {});
        fleet.run(5'000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15'000), fleet.budgetRow().toppedUp.count());
    }

    void wholeFleetRestartsAtOnce()
    {
        VirtualFleet fleet(3, 6);
        fleet.start(Base::Tokens(100'000));
        spend(fleet, 30'000);
        for (int n = 0; n < 6; ++n)
            fleet.kill(n);
        fleet.run(2'000);
        for (int n = 0; n < 6; ++n)
            fleet.startInstance(n);
        spend(fleet, 30'000);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns(true);
    }

    void deadHoldersTokensAreBackInTenSeconds()
    {
        VirtualFleet fleet(4, 6);
        fleet.start(Base::Tokens(1'000'000));
        spend(fleet, 30'000);
        const auto dead = fleet.at(2).instance().id();
        fleet.kill(2);
        fleet.run(1'500);
        fleet.startInstance(2);
        fleet.run(8'500);
        CPPUNIT_ASSERT(fleet.table.range(Budget::GrantRow::holderPrefix(dead)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionTest);

} // namespace Carawaykeel::Tests
