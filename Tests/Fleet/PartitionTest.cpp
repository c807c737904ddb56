#include <Support/FaultSchedule.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

constexpr std::int64_t HourMs = 3'600'000;

/// Sends one request per second, to the instances in turn.
void sendRequests(VirtualFleet &fleet, std::int64_t durationMs)
{
    for (std::int64_t elapsed = 0; elapsed < durationMs; elapsed += 1'000) {
        fleet.request(static_cast<int>(elapsed / 1'000) % fleet.count(), {});
        fleet.run(1'000);
    }
}

} // namespace

/// Top-ups on both sides of an hour-long partition, repeated top-ups, and restarts of one instance
/// and of the whole fleet.
class PartitionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartitionTest);
    CPPUNIT_TEST(hourLongPartitionWithTopUpsOnBothSides);
    CPPUNIT_TEST(repeatedTopUpCountsOnce);
    CPPUNIT_TEST(allInstancesRestartAtOnce);
    CPPUNIT_TEST(tokensOfDeadHolderAreReturnedWithinTenSeconds);
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
    void hourLongPartitionWithTopUpsOnBothSides()
    {
        VirtualFleet fleet(1, 6);
        fleet.start(Base::Tokens(100'000));
        sendRequests(fleet, 120'000);
        fleet.partition({0, 3});
        fleet.table.disconnectedClients = {VirtualFleet::nameOf(0), VirtualFleet::nameOf(3)};
        int accepted = 0;
        topUp(fleet, 0, "cut-side", accepted);
        topUp(fleet, 1, "other-side", accepted);
        topUp(fleet, 0, "both", accepted);
        topUp(fleet, 2, "both", accepted);
        sendRequests(fleet, HourMs);
        CPPUNIT_ASSERT_EQUAL(2, accepted);
        fleet.network.healPartitions();
        fleet.table.disconnectedClients.clear();
        topUp(fleet, 0, "cut-side", accepted);
        topUp(fleet, 0, "both", accepted);
        sendRequests(fleet, 60'000);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(115'000), fleet.budgetRow().toppedUp.count());
    }

    void repeatedTopUpCountsOnce()
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

    void allInstancesRestartAtOnce()
    {
        VirtualFleet fleet(3, 6);
        fleet.start(Base::Tokens(100'000));
        sendRequests(fleet, 30'000);
        for (int n = 0; n < 6; ++n)
            fleet.kill(n);
        fleet.run(2'000);
        for (int n = 0; n < 6; ++n)
            fleet.startInstance(n);
        sendRequests(fleet, 30'000);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns(true);
    }

    void tokensOfDeadHolderAreReturnedWithinTenSeconds()
    {
        VirtualFleet fleet(4, 6);
        fleet.start(Base::Tokens(1'000'000));
        sendRequests(fleet, 30'000);
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
