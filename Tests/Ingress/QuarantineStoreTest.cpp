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
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineStoreTest);

} // namespace Carawaykeel::Tests
