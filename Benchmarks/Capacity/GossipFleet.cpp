#include "GossipFleet.h"

#include <algorithm>
#include <fmt/core.h>

namespace Carawaykeel::Benchmarks {

namespace {

constexpr std::int64_t MaxWaitMilliseconds = 60'000;
constexpr std::int64_t StepMilliseconds = 10;
constexpr std::size_t DataCentreCount = 5;
constexpr std::size_t SeedCount = 3;
/// Approximate time to fetch a configuration from the peer that has it.
constexpr Base::Milliseconds FetchTime{4};

} // namespace

class GossipFleet::Node : public Base::Scheduler, public Membership::GossipTransport
{
public:
    Node(GossipFleet &fleet, std::size_t index)
        : m_fleet(fleet)
        , m_index(index)
    {
        Membership::Member self;
        self.id = {
            Base::InstanceName(fmt::format("entry-{}", index)), 117'726'125'839'000'000 + index};
        self.dataCentre = Base::DataCentre(fmt::format("dc-{}", index % DataCentreCount));
        self.vm = fmt::format("vm-{}", index);
        self.gossipAddress = std::to_string(index);
        // Addresses of realistic length.
        self.peerAddress = self.callerAddress = self.operatorAddress = "10.100.200.100:8080";
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < SeedCount; ++n)
            seeds.push_back(std::to_string(n));
        membership = std::make_unique<Membership::Membership>(self, seeds,
            Membership::MembershipPolicy(), *this, fleet.m_world.random(), *this,
            Membership::MembershipEvents{
                [this](const Base::InstanceId &, std::uint64_t offeredVersion) {
                    fetchVersion(offeredVersion);
                },
                [this](const Base::ServerName &) { hasReceivedServer = true; },
                [](const Base::InstanceId &) {}});
    }

    Base::Milliseconds now() const override { return m_fleet.m_world.now(); }
    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_fleet.m_world.schedule(delay, std::move(task));
    }
    void send(std::string_view address, const Membership::GossipMessage &message) override
    {
        m_fleet.deliver(
            m_index, static_cast<std::size_t>(std::stoul(std::string(address))), message);
    }

    void fetchVersion(std::uint64_t offeredVersion)
    {
        if (offeredVersion <= version)
            return;
        schedule(FetchTime, [this, offeredVersion] {
            version = std::max(version, offeredVersion);
            membership->setConfigurationVersion(version);
        });
    }

    std::unique_ptr<Membership::Membership> membership;
    std::uint64_t version = 0;
    bool hasReceivedServer = false;

private:
    GossipFleet &m_fleet;
    const std::size_t m_index;
};

GossipFleet::GossipFleet(std::size_t members, double loss, std::uint64_t seed)
    : m_world(seed)
    , m_loss(loss)
{
    for (std::size_t n = 0; n < members; ++n)
        m_nodes.push_back(std::make_unique<Node>(*this, n));
}

GossipFleet::~GossipFleet() = default;

void GossipFleet::deliver(
    std::size_t from, std::size_t to, const Membership::GossipMessage &message)
{
    const auto size = m_codec.encode(message).size();
    m_bytes += size;
    ++m_datagrams;
    m_largestDatagram = std::max(m_largestDatagram, size);
    const bool crossesPartition = (from < m_nodes.size() / 2) != (to < m_nodes.size() / 2);
    if (to >= m_nodes.size() || (m_isPartitioned && crossesPartition) || m_world.happens(m_loss))
        return;
    m_world.schedule(Base::Milliseconds(m_world.draw(1, 15)),
        [this, to, message] { m_nodes[to]->membership->onMessage(message); });
}

void GossipFleet::start(std::int64_t milliseconds)
{
    for (auto &node : m_nodes)
        node->membership->start();
    m_world.run(Base::Milliseconds(milliseconds));
}

GossipFleet::Traffic GossipFleet::measureTraffic(std::int64_t milliseconds)
{
    m_bytes = m_datagrams = 0;
    m_largestDatagram = 0;
    m_world.run(Base::Milliseconds(milliseconds));
    const auto scale =
        1'000.0 / static_cast<double>(milliseconds) / static_cast<double>(m_nodes.size());
    return {static_cast<double>(m_bytes) * scale, static_cast<double>(m_datagrams) * scale,
        m_largestDatagram};
}

std::int64_t GossipFleet::timeUntilVersionKnown()
{
    const auto newVersion = m_nodes.back()->version + 1;
    m_nodes.back()->version = newVersion;
    m_nodes.back()->membership->setConfigurationVersion(newVersion);
    for (std::int64_t elapsed = 0; elapsed < MaxWaitMilliseconds; elapsed += StepMilliseconds) {
        if (std::all_of(m_nodes.begin(), m_nodes.end(),
                [&](const auto &node) { return node->version == newVersion; }))
            return elapsed;
        m_world.run(Base::Milliseconds(StepMilliseconds));
    }
    return MaxWaitMilliseconds;
}

std::int64_t GossipFleet::timeUntilServerKnown()
{
    for (auto &node : m_nodes)
        node->hasReceivedServer = false;
    const Base::ServerName server(fmt::format("server-{}", m_world.now().count()));
    m_nodes.back()->membership->announceLeavingServer(server);
    for (std::int64_t elapsed = 0; elapsed < MaxWaitMilliseconds; elapsed += StepMilliseconds) {
        if (std::all_of(m_nodes.begin(), m_nodes.end(),
                [](const auto &node) { return node->hasReceivedServer; }))
            return elapsed;
        m_world.run(Base::Milliseconds(StepMilliseconds));
    }
    return MaxWaitMilliseconds;
}

bool GossipFleet::isConverged() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto &node) {
        return node->membership->livePeers().size() + 1 == m_nodes.size();
    });
}

bool GossipFleet::hasFalseFailure() const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) {
        const auto &members = node->membership->members();
        return std::any_of(members.begin(), members.end(), [](const auto &entry) {
            return entry.second.state == Membership::MemberState::Failed;
        });
    });
}

} // namespace Carawaykeel::Benchmarks
