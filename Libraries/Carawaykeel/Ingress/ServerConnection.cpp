#include <Carawaykeel/Ingress/ServerConnection.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Idle timeout that is assumed for a server that does not announce one.
constexpr Base::Milliseconds UnstatedIdleTimeout{400};
/// A connection is not reused this close to the end of its idle timeout, because the server may
/// already be closing it.
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
        m_socket->awaitConnection();
    } catch (const Poco::Exception &) {
        m_state = State::Closed;
        return false;
    }
    m_reactor.schedule(ConnectTimeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_state == State::Connecting)
            self->fail(Forwarding::AttemptEnd::NotSent);
    });
    return true;
}

void ServerConnection::begin(const std::string &method, const std::string &requestId,
    std::string_view bytes, AnswerSink &sink)
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
        // The calling code is still on the call stack, so the reactor reports the failure later.
        m_reactor.post([self = shared_from_this()] { self->fail(Forwarding::AttemptEnd::Broken); });
    }
}

void ServerConnection::abandon()
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
        if (readiness.canWrite || readiness.hasFailed)
            onConnected();
        return;
    }
    if (readiness.canWrite && m_socket->isOpen() && !m_socket->flush())
        return onEnd(false);
    if (readiness.canRead || readiness.hasFailed)
        readAvailable();
}

void ServerConnection::onConnected()
{
    if (!m_socket->hasConnected())
        return fail(Forwarding::AttemptEnd::NotSent);
    m_state = m_sink ? State::Busy : State::Idle;
    m_idleSince = m_reactor.now();
    if (m_sink && !m_socket->send(std::exchange(m_toSend, {})))
        fail(Forwarding::AttemptEnd::Broken);
}

void ServerConnection::readAvailable()
{
    const auto outcome = m_socket->read(m_in);
    if (outcome == Net::ReadOutcome::Nothing)
        return;
    if (outcome == Net::ReadOutcome::Data) {
        // Bytes received without a request in flight belong to no request, and what follows them
        // could not be matched to one either.
        if (m_state != State::Busy)
            return close();
        return parse();
    }
    onEnd(outcome == Net::ReadOutcome::End);
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
            fail(Forwarding::AttemptEnd::Garbled);
        return false;
    }
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead(std::string_view(m_in).substr(0, *end)); });
    m_in.erase(0, *end);
    auto *head = std::get_if<Http::ResponseHead>(&outcome);
    if (!head) {
        fail(Forwarding::AttemptEnd::Garbled);
        return false;
    }
    const auto status = (*head)->getStatus();
    if (status < FirstFinalStatus)
        return true;
    const auto terms = m_dialect.readAnswer(**head);
    m_body = Http::BodyDecoder::forResponse(**head, m_method);
    m_isForeign = terms.requestId != m_requestId
        && !(terms.requestId.empty() && status >= FirstFailureStatus);
    if (m_isForeign) {
        // A late response to an earlier request; the expected response may follow.
        if (m_body->framing() == Http::Framing::UntilClose) {
            fail(Forwarding::AttemptEnd::Garbled);
            return false;
        }
    } else {
        m_closesAfterAnswer =
            !(*head)->getKeepAlive() || m_body->framing() == Http::Framing::UntilClose;
        m_idleTimeout = terms.idleTimeout.value_or(UnstatedIdleTimeout);
        m_sink->onAnswerHead(**head, terms);
    }
    if (m_state == State::Busy && m_body && m_body->isComplete())
        finishAnswer();
    return true;
}

bool ServerConnection::parseBody()
{
    std::string content;
    m_in.erase(0, m_body->take(m_in, content));
    if (m_body->isBroken()) {
        fail(Forwarding::AttemptEnd::Garbled);
        return false;
    }
    const bool isComplete = m_body->isComplete();
    if (!m_isForeign && !content.empty())
        m_sink->onAnswerBody(content);
    if (m_state == State::Busy && isComplete)
        finishAnswer();
    return true;
}

void ServerConnection::finishAnswer()
{
    m_body.reset();
    if (m_isForeign)
        return;
    // Not reusable: a server that responded before it received the complete request still expects
    // the remainder, and bytes after the response belong to no request.
    if (m_closesAfterAnswer || m_socket->pending() > 0 || !m_in.empty()) {
        close();
    } else {
        m_state = State::Idle;
        m_idleSince = m_reactor.now();
    }
    auto *sink = std::exchange(m_sink, nullptr);
    if (sink)
        sink->onAnswerEnd();
}

void ServerConnection::fail(Forwarding::AttemptEnd end)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    if (m_socket)
        m_socket->close(true);
    auto *sink = std::exchange(m_sink, nullptr);
    if (sink)
        sink->onAnswerFailed(end);
}

void ServerConnection::onEnd(bool isOrderly)
{
    if (m_state != State::Busy)
        return close();
    if (isOrderly && m_body && !m_isForeign) {
        m_body->onConnectionEnd();
        if (m_body->isComplete()) {
            m_closesAfterAnswer = true;
            return finishAnswer();
        }
    }
    fail(Forwarding::AttemptEnd::Broken);
}

} // namespace Carawaykeel::Ingress
