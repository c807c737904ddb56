#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr int SeedCount = 20;
constexpr int MutationSeedCount = 8;
constexpr std::int64_t DurationMs = 60'000;

RequestShape makeBooking(const std::string &key)
{
    RequestShape shape;
    shape.service = "plain";
    shape.worstCase = Base::Tokens(1);
    shape.used = Base::Tokens(1);
    shape.isIdempotent = false;
    shape.key = key;
    return shape;
}

/// Sends a booking to instance `n` and up to two copies to random instances, at once or later, as
/// callers do that retry at another instance after a timeout.
void sendToSeveralInstances(VirtualFleet &fleet, int n, const std::string &key)
{
    auto &world = fleet.world;
    fleet.request(n, makeBooking(key));
    const auto copies = world.draw(0, 2);
    for (int copy = 0; copy < copies; ++copy) {
        const auto other = static_cast<int>(world.draw(0, fleet.count() - 1));
        const auto delay = world.happens(0.5) ? 0 : world.draw(1, 8'000);
        world.schedule(Base::Milliseconds(delay),
            [&fleet, other, key] { fleet.request(other, makeBooking(key)); });
    }
}

void checkAtMostOnce(int seed, Mutation mutation)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = mutation;
    fleet.start(Base::Tokens(1'000'000));
    FaultSchedule faults(fleet, {});
    int bookings = 0;
    faults.run(DurationMs, [&](int n) {
        auto key = fmt::format("booking-{}", ++bookings);
        // Every second booking uses a request id issued by the instance.
        if (bookings % 2 == 0) {
            key = fleet.at(n)
                      .instance()
                      .requestIdIssuer()
                      .issue(Base::TeamId("team"), fleet.world.now())
                      .text();
        }
        sendToSeveralInstances(fleet, n, key);
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
    CPPUNIT_TEST(runsAtMostOnceUnderAllFaults);
    CPPUNIT_TEST(detectsUnconditionalClaims);
    CPPUNIT_TEST(duplicatesGetResponseOfFirstRequest);
    CPPUNIT_TEST(issuedIdRunsWhilePlatformIsDown);
    CPPUNIT_TEST(newKeyIsRefusedDuringOutageAndRunsAfterwards);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAtMostOnceUnderAllFaults()
    {
        forEachSeed(SeedCount, [](int seed) { checkAtMostOnce(seed, Mutation::None); });
    }

    void detectsUnconditionalClaims()
    {
        expectSomeSeedFails(MutationSeedCount,
            [](int seed) { checkAtMostOnce(seed, Mutation::UnconditionalClaims); });
    }

    void duplicatesGetResponseOfFirstRequest()
    {
        VirtualFleet fleet(7, 6);
        fleet.start(Base::Tokens(10'000));
        const auto first = fleet.request(0, makeBooking("slot"));
        const auto second = fleet.request(1, makeBooking("slot"));
        const auto third = fleet.request(0, makeBooking("slot"));
        fleet.run(2'000);
        CPPUNIT_ASSERT(first->isComplete && second->isComplete && third->isComplete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(first->request));
    }

    void issuedIdRunsWhilePlatformIsDown()
    {
        VirtualFleet fleet(8, 6);
        fleet.start(Base::Tokens(10'000));
        fleet.request(0, makeBooking("warm-up"));
        fleet.run(2'000);
        fleet.table.isDown = true;
        const auto id =
            fleet.at(0).instance().requestIdIssuer().issue(Base::TeamId("team"), fleet.world.now());
        const auto original = fleet.request(0, makeBooking(id.text()));
        fleet.run(2'000);
        CPPUNIT_ASSERT(original->isComplete);
        const auto duplicate = fleet.request(1, makeBooking(id.text()));
        fleet.run(2'000);
        CPPUNIT_ASSERT(duplicate->isComplete && duplicate->isReplay);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(original->request));
    }

    void newKeyIsRefusedDuringOutageAndRunsAfterwards()
    {
        VirtualFleet fleet(9, 6);
        fleet.start(Base::Tokens(10'000));
        fleet.request(0, makeBooking("warm-up"));
        fleet.run(2'000);
        fleet.table.isDown = true;
        const auto refused = fleet.request(0, makeBooking("fresh"));
        fleet.run(3'000);
        CPPUNIT_ASSERT(refused->isFinished && refused->kind == Base::ErrorKind::ClaimUnavailable);
        fleet.table.isDown = false;
        const auto retry = fleet.request(2, makeBooking("fresh"));
        fleet.run(3'000);
        CPPUNIT_ASSERT(retry->isComplete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.engines.runCount(retry->request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace Carawaykeel::Tests
