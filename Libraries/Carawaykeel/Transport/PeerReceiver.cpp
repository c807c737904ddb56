#include <Carawaykeel/Transport/PeerReceiver.h>

#include <utility>

namespace Carawaykeel::Transport {

PeerReceiver::PeerReceiver(Net::Reactor &reactor, const Poco::Net::StreamSocket &stream,
    const PeerConnectionPolicy &policy, std::size_t frameLimit, MessageHandler onMessage,
    ClosedHandler onClosed)
    : m_reactor(reactor)
    , m_policy(policy)
    , m_onMessage(std::move(onMessage))
    , m_onClosed(std::move(onClosed))
    , m_frames(frameLimit)
    , m_socket(reactor, stream, *this)
    , m_lastMessageAt(reactor.now())
{
}

void PeerReceiver::onReady(Net::Readiness)
{
    const auto outcome = m_socket.read(m_frames.buffer());
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome == Net::ReadOutcome::Data)
        return readMessages();
    close({});
}

void PeerReceiver::readMessages()
{
    while (const auto message = m_frames.next()) {
        m_lastMessageAt = m_reactor.now();
        m_partialSince.reset();
        if (!m_onMessage(*message))
            return close("malformed message");
    }
    if (m_frames.isOverLimit())
        return close("message over the limit");
    if (m_frames.hasPartialFrame() && !m_partialSince)
        m_partialSince = m_reactor.now();
}

void PeerReceiver::checkTimeouts()
{
    const auto now = m_reactor.now();
    if (m_partialSince && now - *m_partialSince >= m_policy.frameTimeout)
        return close("incomplete message");
    if (!m_partialSince && now - m_lastMessageAt >= m_policy.incomingIdleTimeout)
        close({});
}

void PeerReceiver::close(std::string_view violation)
{
    if (!m_socket.isOpen())
        return;
    m_socket.close(!violation.empty());
    m_onClosed(*this, violation);
}

} // namespace Carawaykeel::Transport
