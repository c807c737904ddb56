#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int SeedCount = 20;
constexpr int MutationSeedCount = 12;
constexpr std::int64_t DurationMs = 120'000;
constexpr Base::Tokens AmpleBudget{10'000'000};
constexpr Base::Tokens ScarceBudget{60'000};

RequestShape drawRequest(VirtualFleet &fleet)
{
    RequestShape shape;
    shape.used = Base::Tokens(fleet.world.draw(0, 100));
    shape.duration = Base::Milliseconds(fleet.world.draw(1, 4'000));
    return shape;
}

/// Parameters of one check.
struct Scenario
{
    FaultMix mix;
    Base::Tokens budget = AmpleBudget;
    Mutation mutation = Mutation::None;
    bool allowsMissingBills = false;
    bool supportsAttemptStatus = true;
};

void checkLedger(int seed, const Scenario &scenario)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = scenario.mutation;
    fleet.engines.supportsAttemptStatus = scenario.supportsAttemptStatus;
    fleet.start(scenario.budget);
    FaultSchedule faults(fleet, scenario.mix);
    faults.run(DurationMs, [&](int n) { fleet.request(n, drawRequest(fleet)); });
    fleet.settleAndReturnAll();
    fleet.checkLedgerBalances();
    fleet.checkRejectedRequestsDidNotRun();
    // If engines cannot be queried about attempts, a reservation that was recorded but never sent
    // is billed too.
    if (scenario.supportsAttemptStatus)
        fleet.checkBillsMatchRuns(scenario.allowsMissingBills);
}

} // namespace

/// Injects kills, pauses, partitions, platform faults and message faults, alone and overlapping, in
/// sequences drawn from fixed seeds, and checks the ledger and the bills.
class ChaosTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChaosTest);
    CPPUNIT_TEST(budgetsAndBillsAreCorrectUnderAllFaults);
    CPPUNIT_TEST(budgetsAreCorrectWhenHolderAndWitnessDieTogether);
    CPPUNIT_TEST(scarceBudgetIsNeverOverspent);
    CPPUNIT_TEST(budgetsAreCorrectWhenEnginesCannotBeQueried);
    CPPUNIT_TEST(detectsMissingWitness);
    CPPUNIT_TEST(detectsMissingFence);
    CPPUNIT_TEST(detectsUnconditionalLedger);
    CPPUNIT_TEST(detectsDuplicateBills);
    CPPUNIT_TEST_SUITE_END();

    static FaultMix unspacedKills()
    {
        FaultMix mix;
        mix.minKillInterval = Base::Milliseconds(0);
        return mix;
    }

    static void checkAllSeeds(const Scenario &scenario)
    {
        forEachSeed(SeedCount, [&](int seed) { checkLedger(seed, scenario); });
    }

    static void expectDetected(Mutation mutation)
    {
        expectSomeSeedFails(MutationSeedCount,
            [&](int seed) { checkLedger(seed, {.budget = ScarceBudget, .mutation = mutation}); });
    }

public:
    void budgetsAndBillsAreCorrectUnderAllFaults() { checkAllSeeds({}); }
    void budgetsAreCorrectWhenHolderAndWitnessDieTogether()
    {
        checkAllSeeds({.mix = unspacedKills(), .allowsMissingBills = true});
    }
    void scarceBudgetIsNeverOverspent() { checkAllSeeds({.budget = ScarceBudget}); }
    void budgetsAreCorrectWhenEnginesCannotBeQueried()
    {
        checkAllSeeds({.budget = ScarceBudget, .supportsAttemptStatus = false});
    }
    void detectsMissingWitness() { expectDetected(Mutation::NoWitness); }
    void detectsMissingFence() { expectDetected(Mutation::NoFence); }
    void detectsUnconditionalLedger() { expectDetected(Mutation::UnconditionalLedger); }
    void detectsDuplicateBills() { expectDetected(Mutation::DuplicateBills); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChaosTest);

} // namespace Carawaykeel::Tests
