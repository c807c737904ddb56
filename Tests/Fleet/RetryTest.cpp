#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int SeedCount = 20;
constexpr std::int64_t DurationMs = 60'000;

void checkSingleBill(int seed, Mutation mutation)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = mutation;
    fleet.start(Base::Tokens(10'000'000));
    FaultSchedule faults(fleet, {});
    int requests = 0;
    faults.run(DurationMs, [&](int n) {
        RequestShape shape;
        shape.key = fmt::format("report-{}", ++requests);
        shape.duration = Base::Milliseconds(fleet.world.draw(1, 5'000));
        fleet.request(n, shape);
        const auto other = static_cast<int>(fleet.world.draw(0, fleet.count() - 1));
        fleet.world.schedule(Base::Milliseconds(fleet.world.draw(0, 10'000)),
            [&fleet, other, shape] { fleet.request(other, shape); });
    });
    fleet.settleAndReturnAll();
    fleet.checkLedgerBalances();
    fleet.checkBillsMatchRuns();
    fleet.checkProducedTokensAreAccounted();
    fleet.checkRejectedRequestsDidNotRun();
}

} // namespace

/// Each request is billed exactly once, also when callers retry it at other instances.
class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(retriesAtOtherInstancesGiveOneBill);
    CPPUNIT_TEST(detectsDuplicateBills);
    CPPUNIT_TEST(retryJoinsRunningRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void retriesAtOtherInstancesGiveOneBill()
    {
        forEachSeed(SeedCount, [](int seed) { checkSingleBill(seed, Mutation::None); });
    }

    void detectsDuplicateBills()
    {
        expectSomeSeedFails(
            SeedCount, [](int seed) { checkSingleBill(seed, Mutation::DuplicateBills); });
    }

    void retryJoinsRunningRequest()
    {
        VirtualFleet fleet(3, 6);
        fleet.start(Base::Tokens(100'000));
        RequestShape shape;
        shape.key = "report";
        shape.duration = Base::Milliseconds(1'000);
        const auto entry = fleet.at(0).instance().entryInstancesFor(Base::TeamId("team"));
        std::vector<std::shared_ptr<CallerResult>> responses;
        for (const auto &member : entry.members) {
            const auto n = member.id.name.text().back() - '0';
            responses.push_back(fleet.request(n, shape));
        }
        fleet.run(5'000);
        for (const auto &response : responses)
            CPPUNIT_ASSERT(response->isComplete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(responses.front()->request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace Carawaykeel::Tests
