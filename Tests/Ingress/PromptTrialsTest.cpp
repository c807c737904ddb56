#include <Carawaykeel/Forwarding/PromptQuarantine.h>
#include <Carawaykeel/Ingress/PromptTrials.h>

#include <Support/FakeTable.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Forwarding::PromptQuarantine;
using Ingress::QuarantineStore;

constexpr std::uint64_t Part = 0xdead;
const std::vector<std::uint64_t> Parts{Part};
constexpr int Instances = 8;
/// Requirement: requests with a deadly part that may reach servers once it has crashed enough.
constexpr int MaxLateArrivals = 3;

/// One instance's view of the part.
struct Instance
{
    Instance(VirtualWorld &world, FakeTable &table, int n)
        : scheduler(world)
        , client(world, table, fmt::format("entry-{}", n), [](auto task) { task(); })
        , store(client, scheduler, world.random())
        , trials(store, scheduler, world.random())
    {
    }

    WorldScheduler scheduler;
    FakeTableClient client;
    QuarantineStore store;
    PromptQuarantine quarantine;
    Ingress::PromptTrials trials;
};

/// Instances that all know of a quarantined part. Their requests with it reach a server only as
/// trials.
class TrialFleet
{
public:
    TrialFleet(VirtualWorld &world, bool isPartDeadly)
        : m_world(world)
        , m_table(world)
        , m_isPartDeadly(isPartDeadly)
    {
        for (int n = 0; n < Instances; ++n)
            m_instances.push_back(std::make_unique<Instance>(world, m_table, n));
    }

    /// Three servers crash at the same moment while they process requests with the part.
    void crashRack()
    {
        for (int n = 0; n < 3; ++n)
            crash(*m_instances.front(), n);
        save(*m_instances.front(), {});
    }

    void request(int n)
    {
        auto &instance = *m_instances.at(static_cast<std::size_t>(n));
        if (!instance.quarantine.isRejected(Parts, m_world.now())) {
            ++m_served;
            return;
        }
        instance.trials.claim(Parts, [this, &instance](const auto &claim) {
            if (claim.isGranted)
                tryPart(instance);
        });
    }

    FakeTable &table() { return m_table; }
    int arrivals() const { return m_arrivals; }
    int served() const { return m_served; }

private:
    void tryPart(Instance &instance)
    {
        ++m_arrivals;
        if (m_isPartDeadly) {
            save(instance, {false, 1});
            return crash(instance, 100 + m_arrivals);
        }
        for (auto &each : m_instances)
            each->quarantine.onResponded(Parts, m_world.now());
        instance.store.save(Part, {});
    }

    void crash(Instance &instance, int server)
    {
        const auto reports = instance.quarantine.onServerCrashed(
            Base::ServerName(fmt::format("server-{}", server)), Parts, m_world.now());
        for (auto &other : m_instances)
            other->quarantine.onReports(reports, m_world.now());
    }

    void save(Instance &instance, const Ingress::QuarantineGrounds &grounds)
    {
        instance.store.save(Part, instance.quarantine.evidenceOf(Part, m_world.now()), grounds);
    }

    VirtualWorld &m_world;
    FakeTable m_table;
    const bool m_isPartDeadly;
    std::vector<std::unique_ptr<Instance>> m_instances;
    int m_arrivals = 0;
    int m_served = 0;
};

/// Sends a request to a random instance every 60 ms on average.
void sendRequests(VirtualWorld &world, TrialFleet &fleet, Base::Milliseconds span)
{
    const auto end = world.now() + span;
    while (world.now() < end) {
        world.run(Base::Milliseconds(world.draw(1, 119)));
        fleet.request(static_cast<int>(world.draw(0, Instances - 1)));
    }
}

} // namespace

/// Trial requests with a quarantined part, over all instances.
class PromptTrialsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptTrialsTest);
    CPPUNIT_TEST(soundPartIsServedAgainWithinSeconds);
    CPPUNIT_TEST(deadlyPartReachesFewServers);
    CPPUNIT_TEST(deadlyPartReachesFewServersWhileRepliesAreLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundPartIsServedAgainWithinSeconds()
    {
        VirtualWorld world(1);
        TrialFleet fleet(world, false);
        fleet.crashRack();
        sendRequests(world, fleet, Base::Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(1, fleet.arrivals());
        CPPUNIT_ASSERT(fleet.served() > 0);
        CPPUNIT_ASSERT(fleet.table().range("quarantine/").empty());
    }

    /// Guards against trials that crash one server after the other.
    void deadlyPartReachesFewServers()
    {
        VirtualWorld world(2);
        TrialFleet fleet(world, true);
        fleet.crashRack();
        sendRequests(world, fleet, Base::Milliseconds(120'000));
        CPPUNIT_ASSERT_LESSEQUAL(MaxLateArrivals, fleet.arrivals());
        CPPUNIT_ASSERT_EQUAL(0, fleet.served());
    }

    void deadlyPartReachesFewServersWhileRepliesAreLost()
    {
        VirtualWorld world(3);
        TrialFleet fleet(world, true);
        fleet.table().replyLoss = 0.3;
        fleet.table().lateCommit = 0.2;
        fleet.crashRack();
        sendRequests(world, fleet, Base::Milliseconds(120'000));
        CPPUNIT_ASSERT_LESSEQUAL(MaxLateArrivals, fleet.arrivals());
        CPPUNIT_ASSERT_EQUAL(0, fleet.served());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptTrialsTest);

} // namespace Carawaykeel::Tests
