#include <Carawaykeel/Ingress/QuarantineStore.h>

#include <Support/FakeTable.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>

namespace Carawaykeel::Tests {

namespace {

using Forwarding::PromptVerdict;
using Ingress::QuarantineStore;

constexpr std::uint64_t Part = 0xdead;
const QuarantineStore::Evidence Quarantined{{Part, PromptVerdict::Quarantined, {}, {}}};

/// The store of one process.
struct Process
{
    Process(VirtualWorld &world, FakeTable &table)
        : scheduler(world)
        , client(world, table, "self", [](auto task) { task(); })
        , store(client, scheduler, world.random())
    {
    }

    /// Loads the evidence; empty if it was not loaded in time.
    std::optional<QuarantineStore::Evidence> load(VirtualWorld &world)
    {
        auto loaded = std::make_shared<std::optional<QuarantineStore::Evidence>>();
        store.load([loaded](const auto &evidence) { *loaded = evidence; });
        world.run(Base::Milliseconds(5'000));
        return *loaded;
    }

    /// Returns the reply to a claim that arrives later.
    std::shared_ptr<std::optional<Ingress::TrialClaim>> claim()
    {
        auto reply = std::make_shared<std::optional<Ingress::TrialClaim>>();
        store.claimTrial(Part, [reply](const auto &claim) { *reply = claim; });
        return reply;
    }

    WorldScheduler scheduler;
    FakeTableClient client;
    QuarantineStore store;
};

} // namespace

/// Evidence against prompt parts outlasts the processes that found it.
class QuarantineStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineStoreTest);
    CPPUNIT_TEST(evidenceOutlastsAllProcesses);
    CPPUNIT_TEST(callsAreRepeatedAfterAnOutage);
    CPPUNIT_TEST(concurrentWritersEndWithOneRow);
    CPPUNIT_TEST(removedAndExpiredEvidenceIsNotLoaded);
    CPPUNIT_TEST(oneInstanceGetsTheTrial);
    CPPUNIT_TEST(trialsGetRarerAsTheyFail);
    CPPUNIT_TEST(noTrialWithoutTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against servers crashing on a known part again after all processes were lost.
    void evidenceOutlastsAllProcesses()
    {
        VirtualWorld world(1);
        FakeTable table(world);
        Process before(world, table);
        before.store.save(Part, Quarantined);
        world.run(Base::Milliseconds(1'000));
        Process after(world, table);
        CPPUNIT_ASSERT(after.load(world) == Quarantined);
    }

    void callsAreRepeatedAfterAnOutage()
    {
        VirtualWorld world(2);
        FakeTable table(world);
        table.isDown = true;
        Process process(world, table);
        process.store.save(Part, Quarantined);
        CPPUNIT_ASSERT(!process.load(world));
        table.isDown = false;
        world.run(Base::Milliseconds(5'000));
        CPPUNIT_ASSERT(Process(world, table).load(world) == Quarantined);
    }

    void concurrentWritersEndWithOneRow()
    {
        VirtualWorld world(3);
        FakeTable table(world);
        Process one(world, table);
        Process two(world, table);
        one.store.save(Part, Quarantined);
        two.store.save(Part, Quarantined);
        world.run(Base::Milliseconds(10'000));
        CPPUNIT_ASSERT(Process(world, table).load(world) == Quarantined);
        const auto writes = table.writes;
        world.run(Base::Milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(writes, table.writes);
    }

    void removedAndExpiredEvidenceIsNotLoaded()
    {
        VirtualWorld world(4);
        FakeTable table(world);
        Process process(world, table);
        process.store.save(Part, Quarantined);
        process.store.save(Part + 1, {{Part + 1, PromptVerdict::Quarantined, {}, {}}});
        world.run(Base::Milliseconds(1'000));
        process.store.save(Part, {});
        world.run(Base::Milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Process(world, table).load(world).value().size());
        world.run(QuarantineStore::Lifetime);
        Process late(world, table);
        CPPUNIT_ASSERT(late.load(world).value().empty());
        CPPUNIT_ASSERT(table.range("quarantine/").empty());
    }

    /// Guards against several instances that try a deadly part at the same time.
    void oneInstanceGetsTheTrial()
    {
        VirtualWorld world(5);
        FakeTable table(world);
        Process one(world, table);
        Process two(world, table);
        one.store.save(Part, Quarantined);
        world.run(Base::Milliseconds(100));
        const auto early = two.claim();
        world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT(!early->value().isGranted);
        world.run(early->value().retryIn);
        const auto first = one.claim();
        const auto second = two.claim();
        world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1, int(first->value().isGranted) + int(second->value().isGranted));
        const auto third = two.claim();
        world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT(!third->value().isGranted);
    }

    void trialsGetRarerAsTheyFail()
    {
        VirtualWorld world(6);
        FakeTable table(world);
        Process process(world, table);
        process.store.save(Part, Quarantined);
        const auto shortest = QuarantineStore::trialDelay({});
        auto longest = shortest;
        for (int n = 0; n < 4; ++n) {
            process.store.save(Part, Quarantined, {false, 1});
            world.run(Base::Milliseconds(100));
            const auto claim = process.claim();
            world.run(Base::Milliseconds(100));
            CPPUNIT_ASSERT(!claim->value().isGranted);
            CPPUNIT_ASSERT(claim->value().retryIn >= longest - Base::Milliseconds(200));
            longest = claim->value().retryIn;
        }
        CPPUNIT_ASSERT(longest > shortest * 100);
        // Evidence that is saved again keeps the number of failed trials.
        process.store.save(Part, Quarantined);
        const auto claim = process.claim();
        world.run(Base::Milliseconds(100));
        CPPUNIT_ASSERT(claim->value().retryIn > shortest * 100);
    }

    void noTrialWithoutTheTable()
    {
        VirtualWorld world(7);
        FakeTable table(world);
        Process process(world, table);
        process.store.save(Part, Quarantined);
        world.run(QuarantineStore::trialDelay({}) + Base::Milliseconds(100));
        table.isDown = true;
        const auto claim = process.claim();
        world.run(Base::Milliseconds(1'000));
        CPPUNIT_ASSERT(!claim->value().isGranted);
        CPPUNIT_ASSERT(claim->value().isPartStored);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineStoreTest);

} // namespace Carawaykeel::Tests
