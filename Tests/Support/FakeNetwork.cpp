#include <Support/FakeNetwork.h>

namespace Carawaykeel::Tests {

void FakeNetwork::setPartitioned(const std::string &left, const std::string &right, bool isCut)
{
    for (const auto &way : {std::pair(left, right), std::pair(right, left)}) {
        if (isCut) {
            m_cuts.insert(way);
        } else {
            m_cuts.erase(way);
        }
    }
}

void FakeNetwork::carry(
    const std::string &from, const std::string &to, std::function<void(const Mailbox &)> hand)
{
    const int copies = m_world.happens(loss) ? 0 : (m_world.happens(duplication) ? 2 : 1);
    for (int n = 0; n < copies; ++n) {
        m_world.schedule(
            Base::Milliseconds(m_world.draw(1, longestDelay.count())), [this, from, to, hand] {
                const auto it = m_boxes.find(to);
                if (it != m_boxes.end() && !m_cuts.contains({from, to}))
                    hand(it->second);
            });
    }
}

void FakeNetwork::sendPeer(const Peer::PeerEnvelope &envelope)
{
    carry(envelope.from.name.text(), envelope.to.name.text(),
        [envelope](const Mailbox &box) { box.onPeer(envelope); });
}

void FakeNetwork::sendGossip(
    const std::string &from, const std::string &to, const Membership::GossipMessage &message)
{
    carry(from, to, [message](const Mailbox &box) { box.onGossip(message); });
}

} // namespace Carawaykeel::Tests
