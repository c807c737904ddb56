#include <Support/FakeNetwork.h>

namespace Carawaykeel::Tests {

void FakeNetwork::setPartitioned(
    const std::string &left, const std::string &right, bool isPartitioned)
{
    for (const auto &path : {std::pair(left, right), std::pair(right, left)}) {
        if (isPartitioned) {
            m_partitionedPaths.insert(path);
        } else {
            m_partitionedPaths.erase(path);
        }
    }
}

void FakeNetwork::deliver(const std::string &from, const std::string &to,
    std::function<void(const MessageHandlers &)> callHandler)
{
    const int copies = m_world.happens(loss) ? 0 : (m_world.happens(duplication) ? 2 : 1);
    for (int n = 0; n < copies; ++n) {
        m_world.schedule(
            Base::Milliseconds(m_world.draw(1, maxDelay.count())), [this, from, to, callHandler] {
                const auto it = m_handlers.find(to);
                if (it != m_handlers.end() && !m_partitionedPaths.contains({from, to}))
                    callHandler(it->second);
            });
    }
}

void FakeNetwork::sendPeer(const Peer::PeerEnvelope &envelope)
{
    deliver(envelope.from.name.text(), envelope.to.name.text(),
        [envelope](const MessageHandlers &handlers) { handlers.onPeerMessage(envelope); });
}

void FakeNetwork::sendGossip(
    const std::string &from, const std::string &to, const Membership::GossipMessage &message)
{
    deliver(from, to, [message](const MessageHandlers &handlers) { handlers.onGossip(message); });
}

} // namespace Carawaykeel::Tests
