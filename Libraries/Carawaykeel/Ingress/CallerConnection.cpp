#include <Carawaykeel/Ingress/CallerConnection.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Net/HTTPMessage.h>
#include <sstream>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Bytes that a caller may send ahead of its answer before it is held back.
constexpr std::size_t MostReadAhead = 65'536;
/// The server is held back while more than this waits for the caller...
constexpr std::size_t CongestedFrom = 262'144;
/// ...until less than this is left.
constexpr std::size_t ReadyBelow = 65'536;
/// How long a connection that is closed with an error is read on, so that its answer arrives.
constexpr Base::Milliseconds LingerTime{1'000};

} // namespace

CallerConnection::CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
    RequestHandler &handler, LimitsSource limits,
    std::function<void(CallerConnection &)> whenClosed)
    : m_reactor(reactor)
    , m_socket(reactor, socket, *this)
    , m_handler(handler)
    , m_limits(std::move(limits))
    , m_whenClosed(std::move(whenClosed))
{
}

void CallerConnection::start()
{
    awaitRequest();
    readAvailable();
}

void CallerConnection::closeWhenIdle()
{
    m_closesAfterAnswer = true;
    if (m_state == State::Reading && !isBusy())
        close(false);
}

void CallerConnection::onReady(Net::Readiness readiness)
{
    const auto self = shared_from_this();
    if (readiness.canWrite) {
        if (!m_socket.flush())
            return onCallerEnd();
        if (m_state == State::Lingering && m_socket.unsentBytes() == 0)
            m_socket.shutdownSend();
        if (m_isCongested && m_socket.unsentBytes() < ReadyBelow) {
            m_isCongested = false;
            if (m_request)
                m_request->onCallerWritable();
        }
    }
    if (m_state != State::Closed && (readiness.canRead || readiness.hasError))
        readAvailable();
}

void CallerConnection::readAvailable()
{
    const auto outcome = m_socket.read(m_in);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome != Net::ReadOutcome::Data)
        return onCallerEnd();
    if (m_state == State::Lingering) {
        m_in.clear();
        return;
    }
    parse();
    if (m_state == State::Answering && m_in.size() > MostReadAhead)
        m_socket.setReading(false);
}

void CallerConnection::onCallerEnd()
{
    auto request = std::exchange(m_request, nullptr);
    close(true);
    if (request)
        request->onCallerDisconnected();
}

void CallerConnection::parse()
{
    while (m_state == State::Reading && (!m_in.empty() || m_head)) {
        const bool hasProgress = m_head ? parseBody() : parseHead();
        if (!hasProgress)
            return;
    }
}

bool CallerConnection::parseHead()
{
    const auto limits = m_limits();
    const auto end = Http::findHeadEnd(m_in);
    if (end.value_or(m_in.size()) > limits.headerBytes) {
        reject(Base::ErrorKind::HeadersTooLarge);
        return false;
    }
    if (!end)
        return false;
    auto outcome = Base::toOutcome<Http::RequestHead>(
        [&] { return Http::tryParseRequestHead(std::string_view(m_in).substr(0, *end)); });
    m_in.erase(0, *end);
    auto *head = std::get_if<Http::RequestHead>(&outcome);
    if (!head) {
        reject(Base::ErrorKind::MalformedRequest);
        return false;
    }
    m_head = std::move(*head);
    m_bodyDecoder = Http::BodyDecoder::forRequest(*m_head);
    m_body.clear();
    if (m_bodyDecoder->contentLength() > limits.bodyBytes) {
        reject(Base::ErrorKind::BodyTooLarge);
        return false;
    }
    if (m_head->getExpectContinue())
        send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool CallerConnection::parseBody()
{
    m_in.erase(0, m_bodyDecoder->decode(m_in, m_body));
    if (m_bodyDecoder->isMalformed()) {
        reject(Base::ErrorKind::MalformedRequest);
        return false;
    }
    if (m_body.size() > m_limits().bodyBytes) {
        reject(Base::ErrorKind::BodyTooLarge);
        return false;
    }
    if (!m_bodyDecoder->isComplete())
        return false;
    dispatch();
    return false;
}

void CallerConnection::dispatch()
{
    m_state = State::Answering;
    ++m_ticket;
    m_closesAfterAnswer = m_closesAfterAnswer || !m_head->getKeepAlive();
    m_isStreamChunked = m_head->getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    auto request = m_handler.handle(std::move(m_head), std::move(m_body), *this);
    // The answer may have been sent already.
    if (m_state == State::Answering)
        m_request = std::move(request);
}

void CallerConnection::reject(Base::ErrorKind kind)
{
    m_state = State::Answering;
    m_closesAfterAnswer = true;
    m_head.reset();
    m_handler.reject(kind, *this);
}

void CallerConnection::sendHead(Poco::Net::HTTPResponse &head)
{
    m_closesAfterAnswer = m_closesAfterAnswer || m_handler.isDraining();
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(!m_closesAfterAnswer);
    std::ostringstream stream;
    head.write(stream);
    send(stream.str());
}

void CallerConnection::sendResponse(Poco::Net::HTTPResponse &head, std::string_view body)
{
    if (m_state != State::Answering)
        return;
    const auto status = head.getStatus();
    if (status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    sendHead(head);
    send(body);
    finishAnswer();
}

void CallerConnection::beginStream(Poco::Net::HTTPResponse &head)
{
    if (m_state != State::Answering)
        return;
    if (m_isStreamChunked) {
        head.setChunkedTransferEncoding(true);
    } else {
        m_closesAfterAnswer = true;
    }
    sendHead(head);
}

void CallerConnection::sendStream(std::string_view bytes)
{
    if (m_state != State::Answering || bytes.empty())
        return;
    if (!m_isStreamChunked)
        return send(bytes);
    std::string chunk;
    Http::appendChunk(chunk, bytes);
    send(chunk);
}

void CallerConnection::endStream()
{
    if (m_state != State::Answering)
        return;
    if (m_isStreamChunked)
        send(Http::LastChunk);
    finishAnswer();
}

void CallerConnection::abort()
{
    m_request.reset();
    close(true);
}

bool CallerConnection::isCongested() const
{
    return m_socket.unsentBytes() > CongestedFrom;
}

void CallerConnection::send(std::string_view bytes)
{
    if (!m_socket.send(bytes)) {
        // The answer's source still holds this call, so it is told in a turn of its own.
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onCallerEnd();
        });
        return;
    }
    m_isCongested = m_isCongested || isCongested();
}

void CallerConnection::finishAnswer()
{
    m_request.reset();
    if (m_closesAfterAnswer)
        return linger();
    m_state = State::Reading;
    m_socket.setReading(true);
    awaitRequest();
    // The next request may have come already; it gets a turn of its own.
    if (!m_in.empty()) {
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->parse();
        });
    }
}

void CallerConnection::awaitRequest()
{
    const auto ticket = ++m_ticket;
    const auto limits = m_limits();
    m_reactor.schedule(limits.idleTimeout, [weak = weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->expire(ticket, true);
    });
}

void CallerConnection::expire(std::uint64_t ticket, bool isIdle)
{
    if (ticket != m_ticket || m_state != State::Reading)
        return;
    if (!isBusy())
        return close(false);
    if (!isIdle)
        return reject(Base::ErrorKind::RequestReadTimeout);
    m_reactor.schedule(m_limits().headerTimeout, [weak = weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->expire(ticket, false);
    });
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_in.clear();
    m_socket.setReading(true);
    // What the caller still sends would turn into a reset that destroys the answer.
    if (m_socket.unsentBytes() == 0)
        m_socket.shutdownSend();
    m_reactor.schedule(LingerTime, [self = shared_from_this()] { self->close(false); });
}

void CallerConnection::close(bool abort)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_socket.close(abort);
    m_whenClosed(*this);
}

} // namespace Carawaykeel::Ingress
