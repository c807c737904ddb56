// The part of CallerConnection that ends connections: after the last response, and for callers that
// take or send too little.
#include <Carawaykeel/Ingress/CallerConnection.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

namespace {

/// A server whose caller takes its response slowly is read again after this time, since servers cut
/// connections that are left unread.
constexpr Base::Milliseconds MaxPauseOfServer{1'000};
/// A response of which the caller took nothing for this long may be cut for another connection.
constexpr Base::Milliseconds MinUntakenTime{500};
/// A connection is still read after its last response until nothing has arrived for this long.
constexpr Base::Milliseconds LingerTime{1'000};
/// Bytes that are discarded after a refusal in addition to a body of maximum length.
constexpr std::size_t DiscardSlack = 65'536;

} // namespace

void CallerConnection::recordRefusal(RefusalKind kind)
{
    if (m_policy.refusals)
        m_policy.refusals->record(kind, m_policy.address, m_peer, m_reactor.now());
}

bool CallerConnection::isEvictable() const
{
    const bool isWaiting = m_state == State::Reading || m_state == State::Lingering;
    return isWaiting && (!hasUnsentBytes() || m_reactor.now() - m_takenAt >= MinUntakenTime);
}

void CallerConnection::evict()
{
    const auto self = shared_from_this();
    recordRefusal(RefusalKind::Connections);
    close(hasUnsentBytes());
}

void CallerConnection::checkTimes()
{
    const auto self = shared_from_this();
    const auto now = m_reactor.now();
    if (m_state == State::Lingering)
        return checkLinger(now);
    if (m_state == State::Handling && m_isCongested)
        return checkCongestion(now);
    if (m_state != State::Reading)
        return;
    const auto limits = m_limitsProvider();
    const auto waited = now - m_waitingSince;
    if (!isBusy() && waited >= limits.idleTimeout)
        return close(false);
    if (isBusy() && waited >= limits.idleTimeout + limits.headerTimeout) {
        // A pipelined request that waits for its turn is not slow: its caller takes nothing.
        if (m_socket.unsentBytes() > 0)
            return onDisconnected();
        reject(Base::ErrorKind::RequestReadTimeout);
        update();
    }
}

void CallerConnection::checkCongestion(Base::Milliseconds now)
{
    if (now - m_takenAt >= m_policy.unreadTimeout) {
        recordRefusal(RefusalKind::Unread);
        return onDisconnected();
    }
    if (m_request && now - m_congestedSince >= MaxPauseOfServer) {
        m_congestedSince = now;
        m_request->onCallerWritable();
    }
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_reader.clear();
    // Only the sending side is shut down: after a full close, data that the caller still sends
    // would cause a reset that destroys the response.
    if (m_socket.unsentBytes() == 0)
        m_socket.shutdownSend();
    m_unsentBytes = m_socket.unsentBytes();
    m_waitingSince = m_reactor.now();
    m_takenAt = m_waitingSince;
    m_discardedAt = m_waitingSince;
    update();
}

void CallerConnection::checkLinger(Base::Milliseconds now)
{
    const auto idleTimeout = m_limitsProvider().idleTimeout;
    if (m_socket.unsentBytes() > 0) {
        // A slow caller gets its whole response, one that takes nothing more does not.
        if (now - m_takenAt >= idleTimeout)
            close(true);
        return;
    }
    const auto quietSince = std::max(m_discardedAt, m_takenAt);
    if (now - quietSince >= LingerTime || now - m_waitingSince >= idleTimeout)
        close(false);
}

void CallerConnection::discardAvailable()
{
    const auto before = m_discardedBytes;
    const auto outcome = m_socket.discard(m_discardedBytes);
    if (m_discardedBytes > before)
        m_discardedAt = m_reactor.now();
    // The caller has ended its side and has got all that was to be sent.
    if (outcome == Net::ReadOutcome::EndOfStream && m_socket.unsentBytes() == 0)
        return close(false);
    if (outcome == Net::ReadOutcome::EndOfStream || outcome == Net::ReadOutcome::Failed)
        return onDisconnected();
    if (m_discardedBytes > m_limitsProvider().bodyBytes + DiscardSlack) {
        recordRefusal(RefusalKind::Overrun);
        close(true);
    }
}

} // namespace Carawaykeel::Ingress
