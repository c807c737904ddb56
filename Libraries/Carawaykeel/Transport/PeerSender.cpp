#include <Carawaykeel/Transport/PeerSender.h>

#include <Carawaykeel/Transport/FrameReader.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace Carawaykeel::Transport {

PeerSender::PeerSender(
    Net::Reactor &reactor, const PeerConnectionPolicy &policy, std::string address)
    : m_reactor(reactor)
    , m_policy(policy)
    , m_address(std::move(address))
{
}

bool PeerSender::send(std::string_view message)
{
    if (queuedBytes() + message.size() > m_policy.maxQueuedBytes)
        return false;
    if (!m_socket && !connect())
        return false;
    m_queue += encodeFrameHeader(message.size());
    m_queue += message;
    if (!m_isConnecting && !std::exchange(m_isFlushScheduled, true)) {
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->flush();
        });
    }
    return true;
}

std::size_t PeerSender::queuedBytes() const
{
    return m_queue.size() + (m_socket ? m_socket->unsentBytes() : 0);
}

bool PeerSender::connect()
{
    if (m_reactor.now() < m_nextConnectAt)
        return false;
    try {
        Poco::Net::StreamSocket stream;
        stream.connectNB(Poco::Net::SocketAddress(m_address));
        stream.setOption(
            IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(m_policy.stallTimeout.count()));
        m_socket = std::make_unique<Net::BufferedSocket>(m_reactor, stream, *this);
        m_socket->setConnecting();
    } catch (const Poco::Exception &) {
        // Counted as a dropped message by the calling code.
        closeAfterFailure();
        return false;
    }
    m_isConnecting = true;
    m_progressAt = m_reactor.now();
    return true;
}

void PeerSender::onReady(Net::Readiness readiness)
{
    const auto self = shared_from_this();
    if (m_isConnecting) {
        if (readiness.canWrite || readiness.hasError)
            onConnected();
        return;
    }
    if (readiness.canWrite)
        flush();
    if (!m_socket || !(readiness.canRead || readiness.hasError))
        return;
    // Nothing is ever received here, so this is the end of the connection.
    std::string unexpected;
    if (m_socket->read(unexpected) != Net::ReadOutcome::WouldBlock)
        close();
}

void PeerSender::onConnected()
{
    if (!m_socket->tryFinishConnecting())
        return closeAfterFailure();
    m_isConnecting = false;
    flush();
}

void PeerSender::flush()
{
    m_isFlushScheduled = false;
    if (!m_socket || m_isConnecting)
        return;
    const auto queue = std::exchange(m_queue, {});
    const bool wasIdle = m_socket->unsentBytes() == 0;
    if (!(queue.empty() ? m_socket->flush() : m_socket->send(queue)))
        return closeAfterFailure();
    // The time that the peer takes is measured from the first byte that waits for it.
    if (wasIdle || m_socket->unsentBytes() < m_unsentBytes + queue.size())
        m_progressAt = m_reactor.now();
    m_unsentBytes = m_socket->unsentBytes();
}

void PeerSender::checkTimeouts()
{
    if (!m_socket)
        return;
    const bool isWaiting = m_isConnecting || m_socket->unsentBytes() > 0;
    const auto timeout = m_isConnecting ? m_policy.connectTimeout : m_policy.stallTimeout;
    if (isWaiting && m_reactor.now() - m_progressAt >= timeout)
        closeAfterFailure();
}

void PeerSender::close()
{
    // A reset would also discard what the peer has received and not read yet.
    if (m_socket)
        m_socket->close(m_socket->unsentBytes() > 0);
    m_socket.reset();
    m_isConnecting = false;
    m_queue.clear();
    m_unsentBytes = 0;
}

void PeerSender::closeAfterFailure()
{
    close();
    m_nextConnectAt = m_reactor.now() + m_policy.reconnectDelay;
}

} // namespace Carawaykeel::Transport
