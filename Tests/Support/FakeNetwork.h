#pragma once

#include <Carawaykeel/Membership/GossipTransport.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>
#include <Carawaykeel/Peer/PeerTransport.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace Carawaykeel::Tests {

/// Handlers of the messages that arrive at one instance.
struct MessageHandlers
{
    std::function<void(const Peer::PeerEnvelope &)> onPeerMessage;
    std::function<void(const Membership::GossipMessage &)> onGossip;
};

/// Network between instances that delays, drops, duplicates and reorders messages, and that can be
/// partitioned.
class FakeNetwork
{
public:
    explicit FakeNetwork(VirtualWorld &world)
        : m_world(world)
    {
    }

    void attach(const std::string &name, MessageHandlers handlers)
    {
        m_handlers[name] = std::move(handlers);
    }
    void detach(const std::string &name) { m_handlers.erase(name); }

    void sendPeer(const Peer::PeerEnvelope &envelope);
    void sendGossip(
        const std::string &from, const std::string &to, const Membership::GossipMessage &message);

    /// Blocks or restores the path between two instances in both directions. A message in flight is
    /// dropped if its path is blocked when it is due.
    void setPartitioned(const std::string &left, const std::string &right, bool isPartitioned);
    void healPartitions() { m_partitionedPaths.clear(); }

    /// Probability that a message is dropped.
    double loss = 0;
    /// Probability that a message that is not dropped arrives twice.
    double duplication = 0;
    Base::Milliseconds maxDelay{3};

private:
    void deliver(const std::string &from, const std::string &to,
        std::function<void(const MessageHandlers &)> callHandler);

    VirtualWorld &m_world;
    std::map<std::string, MessageHandlers> m_handlers;
    std::set<std::pair<std::string, std::string>> m_partitionedPaths;
};

} // namespace Carawaykeel::Tests
