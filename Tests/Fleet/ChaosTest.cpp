#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int Seeds = 20;
constexpr int MutationSeeds = 12;
constexpr std::int64_t Span = 120'000;
constexpr Base::Tokens Ample{10'000'000};
constexpr Base::Tokens Scarce{60'000};

RequestShape drawShape(VirtualFleet &fleet)
{
    RequestShape shape;
    shape.used = Base::Tokens(fleet.world.draw(0, 100));
    shape.duration = Base::Milliseconds(fleet.world.draw(1, 4'000));
    return shape;
}

/// What one proof runs with.
struct Scene
{
    FaultMix mix;
    Base::Tokens budget = Ample;
    Mutation mutation = Mutation::None;
    bool allowsMissingBills = false;
    bool keepsAttempts = true;
};

void proveBooks(int seed, const Scene &scene)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = scene.mutation;
    fleet.engines.keepsAttempts = scene.keepsAttempts;
    fleet.start(scene.budget);
    FaultSchedule faults(fleet, scene.mix);
    faults.run(Span, [&](int n) { fleet.request(n, drawShape(fleet)); });
    fleet.settleAndReturnAll();
    fleet.checkLedgerBalances();
    fleet.checkRejectedRequestsDidNotRun();
    // Without the engines' word a reservation that was recorded and never sent is billed, too.
    if (scene.keepsAttempts)
        fleet.checkBillsMatchRuns(scene.allowsMissingBills);
}

} // namespace

/// Kills, freezes, cuts, platform faults and message faults, alone and together, by fixed seeds.
class ChaosTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChaosTest);
    CPPUNIT_TEST(budgetsAndBillsHoldUnderAllFaults);
    CPPUNIT_TEST(budgetsHoldWhenHolderAndWitnessDieTogether);
    CPPUNIT_TEST(scarceBudgetIsNeverOverspent);
    CPPUNIT_TEST(enginesThatCannotBeAsked);
    CPPUNIT_TEST(noticesMissingWitness);
    CPPUNIT_TEST(noticesMissingFence);
    CPPUNIT_TEST(noticesUnconditionalBooks);
    CPPUNIT_TEST(noticesBillsOfTheirOwn);
    CPPUNIT_TEST_SUITE_END();

    static FaultMix anyKills()
    {
        FaultMix mix;
        mix.minKillInterval = Base::Milliseconds(0);
        return mix;
    }

    static void prove(const Scene &scene)
    {
        forEachSeed(Seeds, [&](int seed) { proveBooks(seed, scene); });
    }

    static void expectNoticed(Mutation mutation)
    {
        expectSomeSeedFails(MutationSeeds,
            [&](int seed) { proveBooks(seed, {.budget = Scarce, .mutation = mutation}); });
    }

public:
    void budgetsAndBillsHoldUnderAllFaults() { prove({}); }
    void budgetsHoldWhenHolderAndWitnessDieTogether()
    {
        prove({.mix = anyKills(), .allowsMissingBills = true});
    }
    void scarceBudgetIsNeverOverspent() { prove({.budget = Scarce}); }
    void enginesThatCannotBeAsked() { prove({.budget = Scarce, .keepsAttempts = false}); }
    void noticesMissingWitness() { expectNoticed(Mutation::NoWitness); }
    void noticesMissingFence() { expectNoticed(Mutation::NoFence); }
    void noticesUnconditionalBooks() { expectNoticed(Mutation::UnconditionalLedger); }
    void noticesBillsOfTheirOwn() { expectNoticed(Mutation::DuplicateBills); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChaosTest);

} // namespace Carawaykeel::Tests
