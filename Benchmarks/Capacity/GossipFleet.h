#pragma once

#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Support/VirtualWorld.h>

#include <memory>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// Simulates many members in one process, in virtual time and with the real codec. Measures gossip
/// traffic and the time until all members have received an update.
class GossipFleet
{
public:
    GossipFleet(std::size_t members, double loss, std::uint64_t seed);
    ~GossipFleet();

    /// Starts all members at once and runs for the given time.
    void start(std::int64_t milliseconds);

    /// Mean number of bytes and datagrams that a member sends per second.
    struct Traffic
    {
        double bytesPerSecond = 0;
        double datagramsPerSecond = 0;
        std::size_t largestDatagram = 0;
    };
    /// Runs for the given time and returns the traffic in it.
    Traffic measureTraffic(std::int64_t milliseconds);

    /// Sets a new configuration version at one member and returns the time in milliseconds until
    /// all members have it.
    std::int64_t timeUntilVersionKnown();
    /// Announces a leaving server at one member and returns the time in milliseconds until all
    /// members have received it.
    std::int64_t timeUntilServerKnown();

    /// Partitions the members into two halves, or ends the partition.
    void setPartitioned(bool isPartitioned) { m_isPartitioned = isPartitioned; }

    /// Returns whether every member considers every other member alive.
    bool isConverged() const;
    /// Returns whether any member considers another one failed.
    bool hasFalseFailure() const;

private:
    class Node;

    void deliver(std::size_t from, std::size_t to, const Membership::GossipMessage &message);

    Tests::VirtualWorld m_world;
    Peer::AuthenticatedCodec m_codec{"capacity-benchmark-key"};
    double m_loss;
    bool m_isPartitioned = false;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_datagrams = 0;
    std::size_t m_largestDatagram = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace Carawaykeel::Benchmarks
