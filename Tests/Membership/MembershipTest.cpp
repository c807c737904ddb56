#include <Carawaykeel/Membership/Membership.h>

#include <Support/FakeNetwork.h>
#include <Support/SeedRange.h>
#include <Support/WorldScheduler.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t InstanceCount = 71;
constexpr std::size_t SeedCount = 3;

std::string addressOf(std::size_t index)
{
    return fmt::format("10.0.0.{}:7000", index);
}

/// One incarnation of an instance that runs only its membership protocol.
class MembershipNode : public Membership::GossipTransport
{
public:
    MembershipNode(
        VirtualWorld &world, FakeNetwork &network, std::size_t index, std::uint64_t incarnation)
        : m_network(network)
        , m_address(addressOf(index))
        , m_scheduler(world)
    {
        Membership::Member self;
        self.id = {Base::InstanceName(fmt::format("entry-{}", index)), incarnation};
        self.gossipAddress = m_address;
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < SeedCount; ++n) {
            if (n != index)
                seeds.push_back(addressOf(n));
        }
        m_membership = std::make_unique<Membership::Membership>(self, seeds,
            Membership::MembershipPolicy(), m_scheduler, world.random(), *this,
            Membership::MembershipEvents{[](const Base::InstanceId &, std::uint64_t) {},
                [](const Base::ServerName &) {}, [](const Base::InstanceId &) {}});
        network.attach(m_address, {{}, [this](const Membership::GossipMessage &message) {
                                       m_membership->onMessage(message);
                                   }});
    }

    void send(std::string_view address, const Membership::GossipMessage &message) override
    {
        m_network.sendGossip(m_address, std::string(address), message);
    }

    Membership::Membership &membership() { return *m_membership; }

private:
    FakeNetwork &m_network;
    const std::string m_address;
    WorldScheduler m_scheduler;
    std::unique_ptr<Membership::Membership> m_membership;
};

/// Instances that start within 0.3 s of each other, as when the whole system is started.
struct Fleet
{
    explicit Fleet(int seed)
        : world(static_cast<std::uint64_t>(seed))
        , network(world)
    {
        network.loss = 0.01;
        for (std::size_t n = 0; n < InstanceCount; ++n) {
            nodes.push_back(std::make_unique<MembershipNode>(world, network, n, 1));
            world.schedule(Base::Milliseconds(world.draw(0, 300)),
                [this, n] { nodes.at(n)->membership().start(); });
        }
    }

    std::size_t minServingMembers() const
    {
        std::size_t minimum = InstanceCount;
        for (const auto &node : nodes)
            minimum = std::min(minimum, node->membership().servingMembers().size());
        return minimum;
    }

    VirtualWorld world;
    FakeNetwork network;
    std::vector<std::unique_ptr<MembershipNode>> nodes;
};

} // namespace

/// Dissemination of the member list.
class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(allInstancesOfLargeFleetAreKnownSoonAfterStart);
    CPPUNIT_TEST(loadsOfLargeFleetAreKnownWithinSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An instance that takes a small part of a large fleet for the whole makes wrong decisions:
    /// the instances' shares of the retry budget add up to too much, and all callers are directed
    /// to a few instances.
    void allInstancesOfLargeFleetAreKnownSoonAfterStart()
    {
        forEachSeed(5, [](int seed) {
            Fleet fleet(seed);
            fleet.world.run(Base::Milliseconds(3'000));
            CPPUNIT_ASSERT_EQUAL(InstanceCount, fleet.minServingMembers());
        });
    }

    /// Guards against plans from the loads of the few members that probed an instance lately.
    void loadsOfLargeFleetAreKnownWithinSeconds()
    {
        forEachSeed(3, [](int seed) {
            Fleet fleet(seed);
            for (const std::uint32_t load : {20, 90}) {
                for (const auto &node : fleet.nodes)
                    node->membership().setLoad(load);
                fleet.world.run(Base::Milliseconds(8'000));
                std::size_t known = 0;
                for (const auto &node : fleet.nodes) {
                    for (const auto &member : node->membership().servingMembers())
                        known += node->membership().loadOf(member.id.name) == load ? 1 : 0;
                }
                const auto share = static_cast<double>(known) / (InstanceCount * InstanceCount);
                CPPUNIT_ASSERT_MESSAGE(fmt::format("known {:.3f}", share), share > 0.95);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace Carawaykeel::Tests
