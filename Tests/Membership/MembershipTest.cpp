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

constexpr std::size_t Instances = 71;
constexpr std::size_t Seeds = 3;

std::string addressOf(std::size_t index)
{
    return fmt::format("10.0.0.{}:7000", index);
}

/// One life of an instance with nothing but its membership.
class Node : public Membership::GossipTransport
{
public:
    Node(VirtualWorld &world, FakeNetwork &network, std::size_t index, std::uint64_t life)
        : m_network(network)
        , m_address(addressOf(index))
        , m_scheduler(world)
    {
        Membership::Member self;
        self.id = {Base::InstanceName(fmt::format("entry-{}", index)), life};
        self.gossipAddress = m_address;
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < Seeds; ++n) {
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

/// Instances that start within 0.3 s of each other, as machines of a whole system do.
struct Fleet
{
    explicit Fleet(int seed)
        : world(static_cast<std::uint64_t>(seed))
        , network(world)
    {
        network.loss = 0.01;
        for (std::size_t n = 0; n < Instances; ++n) {
            nodes.push_back(std::make_unique<Node>(world, network, n, 1));
            world.schedule(Base::Milliseconds(world.draw(0, 300)),
                [this, n] { nodes.at(n)->membership().start(); });
        }
    }

    std::size_t fewestKnown() const
    {
        std::size_t fewest = Instances;
        for (const auto &node : nodes)
            fewest = std::min(fewest, node->membership().servingMembers().size());
        return fewest;
    }

    VirtualWorld world;
    FakeNetwork network;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace

/// What instances know of each other, and how soon.
class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(largeFleetKnowsItselfSoonAfterItsStart);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against decisions by a small part of a large fleet that is taken for the whole:
    /// shares of the fleet's repeats that add up to too much, callers that are all sent to a few
    /// instances.
    void largeFleetKnowsItselfSoonAfterItsStart()
    {
        forEachSeed(5, [](int seed) {
            Fleet fleet(seed);
            fleet.world.run(Base::Milliseconds(3'000));
            CPPUNIT_ASSERT_EQUAL(Instances, fleet.fewestKnown());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace Carawaykeel::Tests
