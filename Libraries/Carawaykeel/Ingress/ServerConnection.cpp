#include <Carawaykeel/Ingress/ServerConnection.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// How long an idle connection is trusted when the server did not say how long it keeps it.
constexpr Base::Milliseconds UnstatedIdleTimeout{400};
/// A connection is not used this close to the end of its idle timeout, as the close may be on its
/// way.
constexpr Base::Milliseconds IdleMargin{300};
constexpr std::size_t LongestHead = 65'536;
constexpr int FirstFinalStatus = 200;
constexpr int FirstFailureStatus = 300;

} // namespace

ServerConnection::ServerConnection(
    Net::Reactor &reactor, const Forwarding::Dialect &dialect, std::string address)
    : m_reactor(reactor)
    , m_dialect(dialect)
    , m_address(std::move(address))
    , m_idleTimeout(UnstatedIdleTimeout)
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
    std::string_view bytes, ResponseHandler &sink)
{
    m_method = method;
    m_requestId = requestId;
    m_sink = &sink;
    m_closesAfterAnswer = false;
    if (m_state == State::Connecting) {
        m_toSend = bytes;
        return;
    }
    m_state = State::Busy;
    if (!m_socket->send(bytes)) {
        // The caller still holds this call, so it is told in a turn of its own.
        m_reactor.post([self = shared_from_this()] {
            self->fail(Forwarding::AttemptOutcome::ConnectionLost);
        });
    }
}

void ServerConnection::cancel()
{
    m_sink = nullptr;
    m_state = State::Closed;
    if (m_socket)
        m_socket->close(true);
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
    return m_state == State::Idle && now - m_idleSince + IdleMargin < m_idleTimeout
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
        return onEnd(false);
    if (readiness.canRead || readiness.hasError)
        readAvailable();
}

void ServerConnection::onConnected()
{
    if (!m_socket->tryFinishConnecting())
        return fail(Forwarding::AttemptOutcome::NotSent);
    m_state = m_sink ? State::Busy : State::Idle;
    m_idleSince = m_reactor.now();
    if (m_sink && !m_socket->send(std::exchange(m_toSend, {})))
        fail(Forwarding::AttemptOutcome::ConnectionLost);
}

void ServerConnection::readAvailable()
{
    const auto outcome = m_socket->read(m_in);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome == Net::ReadOutcome::Data) {
        // Bytes without a request belong to none, so nothing that follows could be told apart.
        if (m_state != State::Busy)
            return close();
        return parse();
    }
    onEnd(outcome == Net::ReadOutcome::EndOfStream);
}

void ServerConnection::parse()
{
    while (m_state == State::Busy && !m_in.empty()) {
        const bool hasProgress = m_body ? parseBody() : parseHead();
        if (!hasProgress)
            return;
    }
}

bool ServerConnection::parseHead()
{
    const auto end = Http::findHeadEnd(m_in);
    if (!end) {
        if (m_in.size() > LongestHead)
            fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead(std::string_view(m_in).substr(0, *end)); });
    m_in.erase(0, *end);
    auto *head = std::get_if<Http::ResponseHead>(&outcome);
    if (!head) {
        fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    const auto status = (*head)->getStatus();
    if (status < FirstFinalStatus)
        return true;
    const auto terms = m_dialect.readResponse(**head);
    m_body = Http::BodyDecoder::forResponse(**head, m_method);
    m_isForeign = terms.requestId != m_requestId
        && !(terms.requestId.empty() && status >= FirstFailureStatus);
    if (m_isForeign) {
        // An answer that comes late to an earlier request; the one waited for may follow it.
        if (m_body->framing() == Http::BodyFraming::UntilClose) {
            fail(Forwarding::AttemptOutcome::InvalidResponse);
            return false;
        }
    } else {
        m_closesAfterAnswer =
            !(*head)->getKeepAlive() || m_body->framing() == Http::BodyFraming::UntilClose;
        m_idleTimeout = terms.idleTimeout.value_or(UnstatedIdleTimeout);
        m_sink->onResponseHead(**head, terms);
    }
    if (m_state == State::Busy && m_body && m_body->isComplete())
        finishAnswer();
    return true;
}

bool ServerConnection::parseBody()
{
    std::string content;
    m_in.erase(0, m_body->decode(m_in, content));
    if (m_body->isMalformed()) {
        fail(Forwarding::AttemptOutcome::InvalidResponse);
        return false;
    }
    const bool isComplete = m_body->isComplete();
    if (!m_isForeign && !content.empty())
        m_sink->onResponseBody(content);
    if (m_state == State::Busy && isComplete)
        finishAnswer();
    return true;
}

void ServerConnection::finishAnswer()
{
    m_body.reset();
    if (m_isForeign)
        return;
    // A server that answered before it had the whole request waits for its rest; and bytes beyond
    // the answer belong to no request.
    if (m_closesAfterAnswer || m_socket->unsentBytes() > 0 || !m_in.empty()) {
        close();
    } else {
        m_state = State::Idle;
        m_idleSince = m_reactor.now();
    }
    auto *sink = std::exchange(m_sink, nullptr);
    if (sink)
        sink->onResponseComplete();
}

void ServerConnection::fail(Forwarding::AttemptOutcome end)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    if (m_socket)
        m_socket->close(true);
    auto *sink = std::exchange(m_sink, nullptr);
    if (sink)
        sink->onResponseFailed(end);
}

void ServerConnection::onEnd(bool isOrderly)
{
    if (m_state != State::Busy)
        return close();
    if (isOrderly && m_body && !m_isForeign) {
        m_body->onConnectionClosed();
        if (m_body->isComplete()) {
            m_closesAfterAnswer = true;
            return finishAnswer();
        }
    }
    fail(Forwarding::AttemptOutcome::ConnectionLost);
}

} // namespace Carawaykeel::Ingress
