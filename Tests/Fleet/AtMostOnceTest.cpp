#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int Seeds = 20;
constexpr int MutationSeeds = 8;
constexpr std::int64_t Span = 60'000;

RequestShape booking(const std::string &key)
{
    RequestShape shape;
    shape.service = "plain";
    shape.worstCase = Base::Tokens(1);
    shape.used = Base::Tokens(1);
    shape.isIdempotent = false;
    shape.key = key;
    return shape;
}

/// Each booking is sent to up to three instances, at once and again later, as callers do that give
/// up waiting and try elsewhere.
void bookEverywhere(VirtualFleet &fleet, int n, const std::string &key)
{
    auto &world = fleet.world;
    fleet.request(n, booking(key));
    const auto copies = world.draw(0, 2);
    for (int copy = 0; copy < copies; ++copy) {
        const auto other = static_cast<int>(world.draw(0, fleet.count() - 1));
        const auto wait = world.happens(0.5) ? 0 : world.draw(1, 8'000);
        world.schedule(
            Base::Milliseconds(wait), [&fleet, other, key] { fleet.request(other, booking(key)); });
    }
}

void proveAtMostOnce(int seed, Mutation mutation)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = mutation;
    fleet.start(Base::Tokens(1'000'000));
    FaultSchedule faults(fleet, {});
    int bookings = 0;
    faults.run(Span, [&](int n) {
        auto key = fmt::format("booking-{}", ++bookings);
        // Half of them use an id that the instance handed out.
        if (bookings % 2 == 0) {
            key = fleet.at(n)
                      .instance()
                      .requestIdIssuer()
                      .issue(Base::TeamId("team"), fleet.world.now())
                      .text();
        }
        bookEverywhere(fleet, n, key);
    });
    fleet.settleAndReturnAll();
    fleet.checkRunsAtMostOnce();
    fleet.checkLedgerBalances();
    fleet.checkBillsMatchRuns();
    fleet.checkRejectedRequestsDidNotRun();
}

} // namespace

/// A request marked as non-idempotent runs at most once.
class AtMostOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AtMostOnceTest);
    CPPUNIT_TEST(holdsUnderAllFaults);
    CPPUNIT_TEST(noticesUnconditionalClaims);
    CPPUNIT_TEST(secondArrivalGetsTheFirstsAnswer);
    CPPUNIT_TEST(mintedIdNeedsNoPlatform);
    CPPUNIT_TEST(freshKeyInAnOutageIsRefusedAndLaterRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsUnderAllFaults()
    {
        forEachSeed(Seeds, [](int seed) { proveAtMostOnce(seed, Mutation::None); });
    }

    void noticesUnconditionalClaims()
    {
        expectSomeSeedFails(
            MutationSeeds, [](int seed) { proveAtMostOnce(seed, Mutation::UnconditionalClaims); });
    }

    void secondArrivalGetsTheFirstsAnswer()
    {
        VirtualFleet fleet(7, 6);
        fleet.start(Base::Tokens(10'000));
        const auto first = fleet.request(0, booking("slot"));
        const auto second = fleet.request(1, booking("slot"));
        const auto third = fleet.request(0, booking("slot"));
        fleet.run(2'000);
        CPPUNIT_ASSERT(first->isComplete && second->isComplete && third->isComplete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(first->request));
    }

    void mintedIdNeedsNoPlatform()
    {
        VirtualFleet fleet(8, 6);
        fleet.start(Base::Tokens(10'000));
        fleet.request(0, booking("warm-up"));
        fleet.run(2'000);
        fleet.table.isDown = true;
        const auto id =
            fleet.at(0).instance().requestIdIssuer().issue(Base::TeamId("team"), fleet.world.now());
        const auto there = fleet.request(0, booking(id.text()));
        fleet.run(2'000);
        CPPUNIT_ASSERT(there->isComplete);
        const auto elsewhere = fleet.request(1, booking(id.text()));
        fleet.run(2'000);
        CPPUNIT_ASSERT(elsewhere->isComplete && elsewhere->isReplay);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(there->request));
    }

    void freshKeyInAnOutageIsRefusedAndLaterRuns()
    {
        VirtualFleet fleet(9, 6);
        fleet.start(Base::Tokens(10'000));
        fleet.request(0, booking("warm-up"));
        fleet.run(2'000);
        fleet.table.isDown = true;
        const auto refused = fleet.request(0, booking("fresh"));
        fleet.run(3'000);
        CPPUNIT_ASSERT(refused->isFinished && refused->kind == Base::ErrorKind::ClaimUnreachable);
        fleet.table.isDown = false;
        const auto again = fleet.request(2, booking("fresh"));
        fleet.run(3'000);
        CPPUNIT_ASSERT(again->isComplete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(again->request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace Carawaykeel::Tests
