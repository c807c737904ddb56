#include <Support/VirtualFleet.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

/// A team never spends more than its prepaid budget.
class NoOverspendTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NoOverspendTest);
    CPPUNIT_TEST(ledgerBalancesWithoutFaults);
    CPPUNIT_TEST(budgetIsSpentCompletely);
    CPPUNIT_TEST_SUITE_END();

public:
    void ledgerBalancesWithoutFaults()
    {
        VirtualFleet fleet(1, 6);
        fleet.start(Base::Tokens(100'000));
        std::vector<std::shared_ptr<CallerResult>> results;
        for (int n = 0; n < 200; ++n) {
            results.push_back(fleet.request(n % 6, {}));
            fleet.run(20);
        }
        fleet.run(2'000);
        for (const auto &result : results)
            CPPUNIT_ASSERT(result->isComplete);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(200 * 60), fleet.billed().count());
    }

    void budgetIsSpentCompletely()
    {
        VirtualFleet fleet(2, 6);
        fleet.start(Base::Tokens(10'000));
        int completed = 0;
        int refused = 0;
        std::vector<std::shared_ptr<CallerResult>> results;
        for (int n = 0; n < 200; ++n) {
            results.push_back(
                fleet.request(n % 6, {.worstCase = Base::Tokens(100), .used = Base::Tokens(100)}));
            fleet.run(300);
        }
        fleet.run(5'000);
        for (const auto &result : results) {
            completed += result->isComplete ? 1 : 0;
            refused +=
                result->isFinished && result->kind == Base::ErrorKind::BudgetExhausted ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(100, completed);
        CPPUNIT_ASSERT_EQUAL(100, refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoOverspendTest);

} // namespace Carawaykeel::Tests
