#include <Carawaykeel/Ingress/ServerConnection.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Idle timeout that is assumed for a server that does not announce one.
constexpr Base::Milliseconds DefaultIdleTimeout{400};
/// A connection is not reused this close to the end of its idle timeout, because the server may
/// already be closing it.
constexpr Base::Milliseconds IdleTimeoutMargin{300};
constexpr std::size_t MaxHeadBytes = 65'536;
/// An empty buffer of more bytes is freed.
constexpr std::size_t MaxIdleBufferBytes = 16'384;
constexpr int FirstFinalStatus = 200;
constexpr int FirstNonSuccessStatus = 300;

} // namespace

ServerConnection::ServerConnection(Net::Reactor &reactor, const Forwarding::Dialect &dialect,
    BufferAccount &buffers, std::string address)
    : m_reactor(reactor)
    , m_dialect(dialect)
    , m_address(std::move(address))
    , m_buffer(buffers, BufferKind::Other)
    , m_idleTimeout(DefaultIdleTimeout)
{
}

bool ServerConnection::connect()
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(m_address));
        m_socket = std::make_unique<Net::BufferedSocket>(m_reactor, socket, *this);
        m_socket->setConnecting();
    } catch (const Poco::Exception &) {
        m_state = State::Closed;
        return false;
    }
    m_reactor.schedule(ConnectTimeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_state == State::Connecting)
            self->fail(Forwarding::AttemptOutcome::NotSent);
    });
    return true;
}

void ServerConnection::sendRequest(const std::string &method, const std::string &requestId,
    std::string_view bytes, ResponseHandler &handler)
{
    m_method = method;
    m_requestId = requestId;
    m_handler = &handler;
    m_closesAfterResponse = false;
    if (m_state == State::Connecting) {
        m_pendingRequest = bytes;
        return updateBuffer();
    }
    m_state = State::Busy;
    if (!m_socket->send(bytes)) {
        // The calling code is still on the call stack, so the reactor reports the failure later.
        m_reactor.post([self = shared_from_this()] {
            self->fail(Forwarding::AttemptOutcome::ConnectionLost);
        });
    }
    updateBuffer();
}

void ServerConnection::onFailure()
{
    const auto self = shared_from_this();
    fail(Forwarding::AttemptOutcome::InvalidResponse);
}

void ServerConnection::updateBuffer()
{
    if (m_received.empty() && m_received.capacity() > MaxIdleBufferBytes)
        m_received = {};
    m_buffer.set(m_received.capacity() + m_pendingRequest.capacity()
        + (m_socket && m_socket->isOpen() ? m_socket->bufferedBytes() : 0));
}

void ServerConnection::cancel()
{
    m_handler = nullptr;
    m_state = State::Closed;
    if (m_socket)
        m_socket->close(true);
}

void ServerConnection::withdrawDisallowedRequest()
{
    if (m_state == State::Connecting && m_handler && !m_handler->isServerAllowed())
        fail(Forwarding::AttemptOutcome::NotSent);
}

void ServerConnection::setReading(bool isReading)
{
    if (m_socket && m_socket->isOpen())
        m_socket->setReading(isReading);
}

void ServerConnection::close()
{
    m_state = State::Closed;
    if (m_socket)
        m_socket->close();
}

bool ServerConnection::isReusable(Base::Milliseconds now) const
{
    return m_state == State::Idle && now - m_idleSince + IdleTimeoutMargin < m_idleTimeout
        && m_socket->isOpen();
}

void ServerConnection::onReady(Net::Readiness readiness)
{
    const auto self = shared_from_this();
    if (m_state == State::Connecting) {
        if (readiness.canWrite || readiness.hasError)
            onConnected();
        return;
    }
    if (readiness.canWrite && m_socket->isOpen() && !m_socket->flush())
        return onDisconnected(false);
    if (readiness.canRead || readiness.hasError)
        readAvailable();
    updateBuffer();
}

void ServerConnection::onConnected()
{
    if (!m_socket->tryFinishConnecting())
        return fail(Forwarding::AttemptOutcome::NotSent);
    m_state = m_handler ? State::Busy : State::Idle;
    m_idleSince = m_reactor.now();
    if (m_handler && !m_socket->send(std::exchange(m_pendingRequest, {})))
        fail(Forwarding::AttemptOutcome::ConnectionLost);
}

void ServerConnection::readAvailable()
{
    const auto outcome = m_socket->read(m_received);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome == Net::ReadOutcome::Data) {
        // Bytes received without a request in flight belong to no request, and what follows them
        // could not be matched to one either.
        if (m_state != State::Busy)
            return close();
        return parse();
    }
    // A response without a length that ends before its request was received may be a part of one.
    onDisconnected(outcome == Net::ReadOutcome::EndOfStream && m_socket->isOrderlyEnd());
}

void ServerConnection::parse()
{
    while (m_state == State::Busy && !m_received.empty()) {
        const bool hasProgress = m_bodyDecoder ? parseBody() : parseHead();
        if (!hasProgress)
            return;
    }
}

bool ServerConnection::parseHead()
{
    const auto end = Http::findHeadEnd(m_received);
    if (!end) {
        if (m_received.size() > MaxHeadBytes)
            fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead(std::string_view(m_received).substr(0, *end)); });
    m_received.erase(0, *end);
    auto *head = std::get_if<Http::ResponseHead>(&outcome);
    if (!head) {
        fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    const auto status = (*head)->getStatus();
    if (status < FirstFinalStatus)
        return true;
    const auto metadata = m_dialect.readResponse(**head);
    m_bodyDecoder = Http::BodyDecoder::forResponse(**head, m_method);
    const bool hasNoId = metadata.requestId.empty() && status >= FirstNonSuccessStatus;
    // A failure without an id may repeat the response to an earlier request of this connection.
    if (hasNoId && m_hasResponded) {
        fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    m_isStaleResponse = metadata.requestId != m_requestId && !hasNoId;
    if (m_isStaleResponse) {
        // A late response to an earlier request; the expected response may follow.
        if (m_bodyDecoder->framing() == Http::BodyFraming::UntilClose) {
            fail(Forwarding::AttemptOutcome::InvalidResponse);
            return false;
        }
    } else {
        m_closesAfterResponse =
            !(*head)->getKeepAlive() || m_bodyDecoder->framing() == Http::BodyFraming::UntilClose;
        m_idleTimeout = metadata.idleTimeout.value_or(DefaultIdleTimeout);
        m_handler->onResponseHead(**head, metadata);
    }
    if (m_state == State::Busy && m_bodyDecoder && m_bodyDecoder->isComplete())
        finishResponse();
    return true;
}

bool ServerConnection::parseBody()
{
    std::string content;
    m_received.erase(0, m_bodyDecoder->decode(m_received, content));
    if (m_bodyDecoder->isMalformed()) {
        fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    const bool isComplete = m_bodyDecoder->isComplete();
    if (!m_isStaleResponse && !content.empty())
        m_handler->onResponseBody(content);
    if (m_state == State::Busy && isComplete)
        finishResponse();
    return true;
}

void ServerConnection::finishResponse()
{
    m_bodyDecoder.reset();
    m_hasResponded = true;
    if (m_isStaleResponse)
        return;
    // Not reusable: a server that responded before it received the complete request still expects
    // the remainder, and bytes after the response belong to no request.
    if (m_closesAfterResponse || m_socket->unsentBytes() > 0 || !m_received.empty()) {
        close();
    } else {
        m_state = State::Idle;
        m_idleSince = m_reactor.now();
        // Reading may have been paused for a slow caller; the next request must not wait for it.
        m_socket->setReading(true);
    }
    auto *handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler->onResponseComplete();
}

void ServerConnection::fail(Forwarding::AttemptOutcome outcome)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    if (m_socket)
        m_socket->close(true);
    auto *handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler->onResponseFailed(outcome);
}

void ServerConnection::onDisconnected(bool isOrderly)
{
    if (m_state != State::Busy)
        return close();
    if (isOrderly && m_bodyDecoder && !m_isStaleResponse) {
        m_bodyDecoder->onConnectionClosed();
        if (m_bodyDecoder->isComplete()) {
            m_closesAfterResponse = true;
            return finishResponse();
        }
    }
    fail(Forwarding::AttemptOutcome::ConnectionLost);
}

} // namespace Carawaykeel::Ingress
