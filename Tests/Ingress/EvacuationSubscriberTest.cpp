#include <Carawaykeel/Ingress/EvacuationSubscriber.h>
#include <Carawaykeel/Ingress/GossipEvacuationTransport.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Support/FakeNetwork.h>
#include <Support/MemoryLogSink.h>
#include <Support/SeedRange.h>
#include <Support/WorldScheduler.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t InstanceCount = 40;
/// Time after the write of a row until which an evacuation must be in effect.
constexpr Base::Milliseconds Bound{5'000};
const Base::DataCentre Evacuated("x");

std::string addressOf(std::size_t index)
{
    return fmt::format("10.0.0.{}:7000", index);
}

/// The membership, registers and server pool of one instance. Counts its datagrams of evacuations.
class EvacuationNode : public Membership::GossipTransport
{
public:
    EvacuationNode(VirtualWorld &world, FakeNetwork &network, std::size_t index)
        : m_network(network)
        , m_address(addressOf(index))
        , m_scheduler(world)
        , m_pool(Base::DataCentre("a"), {}, world.random())
        , m_log({Base::InstanceName(m_address), 1}, sink)
        , m_evacuationTransport(m_membership)
        , subscriber(
              "evacuate/", m_scheduler, m_pool, m_evacuationTransport, [] {}, m_log)
    {
        Membership::Member self;
        self.id = {Base::InstanceName(m_address), 1};
        self.gossipAddress = m_address;
        Membership::MembershipEvents events{[](const Base::InstanceId &, std::uint64_t) {},
            [](const Base::ServerName &) {}, [](const Base::InstanceId &) {}};
        events.onEvacuations = [this](const auto &from, auto evacuations) {
            subscriber.onPeerReport(from, evacuations);
        };
        events.knownEvacuations = [this] { return subscriber.registers().all(); };
        m_membership =
            std::make_unique<Membership::Membership>(self, std::vector{addressOf(0), addressOf(1)},
                Membership::MembershipPolicy(), m_scheduler, world.random(), *this, events);
        network.attach(
            m_address, {{}, [this](const auto &message) { m_membership->onMessage(message); }});
    }

    void start() { m_membership->start(); }
    void send(std::string_view address, const Membership::GossipMessage &message) override
    {
        if (message.kind == Membership::GossipKind::Evacuations)
            ++sentCount;
        m_network.sendGossip(m_address, std::string(address), message);
    }
    bool isEvacuated() const { return m_pool.isEvacuated(Evacuated); }

    MemoryLogSink sink;
    int sentCount = 0;

private:
    FakeNetwork &m_network;
    const std::string m_address;
    WorldScheduler m_scheduler;
    Forwarding::ServerPool m_pool;
    const Logging::Logger m_log;
    Ingress::GossipEvacuationTransport m_evacuationTransport;
    std::unique_ptr<Membership::Membership> m_membership;

public:
    Ingress::EvacuationSubscriber subscriber;
};

struct EvacuationFleet
{
    explicit EvacuationFleet(int seed)
        : world(static_cast<std::uint64_t>(seed))
        , network(world)
    {
        network.loss = 0.1;
        network.duplication = 0.1;
        network.maxDelay = Base::Milliseconds(50);
        for (std::size_t n = 0; n < InstanceCount; ++n)
            addInstance();
        world.run(Bound);
    }

    void addInstance()
    {
        nodes.push_back(std::make_unique<EvacuationNode>(world, network, nodes.size()));
        nodes.back()->start();
    }
    /// Two instances read the change from the table service; it rejects the others.
    void change(std::uint64_t version, bool isEvacuated)
    {
        const auto value = isEvacuated ? std::optional<std::string>("{}") : std::nullopt;
        const std::vector<Platform::RowChange> changes{
            {"config", "c", version - 1}, {"evacuate/" + Evacuated.text(), value, version}};
        for (std::size_t n = 0; n < 2; ++n)
            nodes.at(n)->subscriber.onChanges(changes);
        world.run(Bound);
    }
    void expectEvacuated(std::size_t count) const
    {
        CPPUNIT_ASSERT_EQUAL(count,
            static_cast<std::size_t>(std::ranges::count_if(
                nodes, [](const auto &node) { return node->isEvacuated(); })));
    }
    int sentCount() const
    {
        int sum = 0;
        for (const auto &node : nodes)
            sum += node->sentCount;
        return sum;
    }

    VirtualWorld world;
    FakeNetwork network;
    std::vector<std::unique_ptr<EvacuationNode>> nodes;
};

} // namespace

/// Evacuations that reach instances from the table service and from each other.
class EvacuationSubscriberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationSubscriberTest);
    CPPUNIT_TEST(instancesWithoutTableLearnEvacuations);
    CPPUNIT_TEST(partitionedInstancesLearnThatAnEvacuationWasLifted);
    CPPUNIT_TEST(snapshotsReplaceALostHistory);
    CPPUNIT_TEST(datagramKeepsAllRegisters);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The table service rejects most instances, a tenth of the datagrams is lost, and one instance
    /// starts without the table service.
    void instancesWithoutTableLearnEvacuations()
    {
        forEachSeed(5, [](int seed) {
            EvacuationFleet fleet(seed);
            CPPUNIT_ASSERT_EQUAL(0, fleet.sentCount());
            fleet.change(7, true);
            fleet.expectEvacuated(InstanceCount);
            fleet.addInstance();
            fleet.world.run(Bound);
            fleet.expectEvacuated(InstanceCount + 1);
            fleet.change(9, false);
            fleet.expectEvacuated(0);
            const auto sent = fleet.sentCount();
            fleet.world.run(Bound);
            // Only member list requests are replied to; probes no longer carry evacuations.
            CPPUNIT_ASSERT(fleet.sentCount() - sent < static_cast<int>(InstanceCount));
            CPPUNIT_ASSERT(fleet.nodes.back()->sink.contains(
                "event=evacuation_changed data_centre=x evacuated=true version=7 source=10."));
        });
    }

    /// Those that miss the change go on reporting the evacuation and are corrected by the others.
    void partitionedInstancesLearnThatAnEvacuationWasLifted()
    {
        forEachSeed(5, [](int seed) {
            EvacuationFleet fleet(seed);
            fleet.change(7, true);
            for (std::size_t n = 0; n < InstanceCount; ++n)
                fleet.network.setPartitioned(addressOf(n), addressOf(InstanceCount - 1), true);
            fleet.change(9, false);
            fleet.expectEvacuated(1);
            fleet.network.healPartitions();
            fleet.world.run(Bound);
            fleet.expectEvacuated(0);
        });
    }

    /// An instance lost the feed's history while a row was removed, and another instance, which has
    /// not noticed yet, reports the evacuation again.
    void snapshotsReplaceALostHistory()
    {
        VirtualWorld world(1);
        FakeNetwork network(world);
        EvacuationNode node(world, network, 0);
        node.subscriber.onSnapshot({{"config", "c", 2}, {"evacuate/x", "", 4}}, 6);
        world.run(Base::Milliseconds(1));
        CPPUNIT_ASSERT(node.isEvacuated());
        node.subscriber.onSnapshot({{"config", "c", 2}, {"evacuate/", "{}", 9}}, 10);
        world.run(Base::Milliseconds(1));
        CPPUNIT_ASSERT(!node.isEvacuated());
        CPPUNIT_ASSERT(node.sink.contains("evacuated=false version=10 source=table"));
        CPPUNIT_ASSERT(node.sink.contains("event=evacuation_unusable"));
        const std::vector stale{Forwarding::Evacuation{Evacuated, 4, true}};
        node.subscriber.onPeerReport(Base::InstanceName("other"), stale);
        CPPUNIT_ASSERT(!node.isEvacuated());
    }

    void datagramKeepsAllRegisters()
    {
        Membership::GossipMessage message{Membership::GossipKind::Evacuations};
        for (std::size_t n = 0; n < Forwarding::EvacuationRegisters::MaxRegisters; ++n)
            message.evacuations.push_back({Base::DataCentre(fmt::format("d{}", n)), n, n % 2 == 0});
        const Peer::AuthenticatedCodec codec("key");
        const auto bytes = codec.encode(message);
        CPPUNIT_ASSERT(bytes.size() < 1'400);
        const auto outcome = Base::toOutcome<Membership::GossipMessage>(
            [&] { return codec.tryDecode<Membership::GossipMessage>(bytes); });
        CPPUNIT_ASSERT(
            std::get<Membership::GossipMessage>(outcome).evacuations == message.evacuations);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationSubscriberTest);

} // namespace Carawaykeel::Tests
