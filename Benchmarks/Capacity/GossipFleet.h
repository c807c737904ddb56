#pragma once

#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Support/VirtualWorld.h>

#include <memory>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// Many memberships in one process, in virtual time, with the real codec: counts of messages and
/// bytes, and times until news is known everywhere.
class GossipFleet
{
public:
    GossipFleet(std::size_t members, double loss, std::uint64_t seed);
    ~GossipFleet();

    /// Starts all at once and runs until they know one another.
    void start(std::int64_t milliseconds);

    /// Bytes and datagrams sent by one member in a second, in the mean over this time.
    struct Traffic
    {
        double bytesPerSecond = 0;
        double datagramsPerSecond = 0;
        std::size_t largestDatagram = 0;
    };
    Traffic measureTraffic(std::int64_t milliseconds);

    /// Time until a new configuration version, or a leaving server, that one member has learned of
    /// is known to all.
    std::int64_t timeUntilVersionKnown();
    std::int64_t timeUntilServerKnown();

    /// Cuts the members into two halves, and heals them again.
    void setCut(bool isCut) { m_isCut = isCut; }

    /// Whether each member takes each other one for alive.
    bool isComplete() const;
    bool hasFalseSuspicion() const;

private:
    class Node;

    void carry(std::size_t from, std::size_t to, const Membership::GossipMessage &message);

    Tests::VirtualWorld m_world;
    Peer::AuthenticatedCodec m_codec{"capacity-benchmark-key"};
    double m_loss;
    bool m_isCut = false;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_datagrams = 0;
    std::size_t m_largest = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace Carawaykeel::Benchmarks
