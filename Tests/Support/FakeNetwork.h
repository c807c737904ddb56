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

/// What a node on the fake network does with what arrives.
struct Mailbox
{
    std::function<void(const Peer::PeerEnvelope &)> onPeer;
    std::function<void(const Membership::GossipMessage &)> onGossip;
};

/// Messages between instances: late, lost, doubled, out of order, cut.
class FakeNetwork
{
public:
    explicit FakeNetwork(VirtualWorld &world)
        : m_world(world)
    {
    }

    void attach(const std::string &name, Mailbox mailbox) { m_boxes[name] = std::move(mailbox); }
    void detach(const std::string &name) { m_boxes.erase(name); }

    void sendPeer(const Peer::PeerEnvelope &envelope);
    void sendGossip(
        const std::string &from, const std::string &to, const Membership::GossipMessage &message);

    /// Cuts or heals the way between two instances.
    void setPartitioned(const std::string &left, const std::string &right, bool isCut);
    void healPartitions() { m_cuts.clear(); }

    double loss = 0;
    double duplication = 0;
    Base::Milliseconds longestDelay{3};

private:
    void carry(
        const std::string &from, const std::string &to, std::function<void(const Mailbox &)> hand);

    VirtualWorld &m_world;
    std::map<std::string, Mailbox> m_boxes;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace Carawaykeel::Tests
