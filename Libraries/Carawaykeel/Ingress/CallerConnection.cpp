#include <Carawaykeel/Ingress/CallerConnection.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Net/HTTPMessage.h>
#include <sstream>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Reading from the caller pauses when it has sent more bytes than this beyond the request that is
/// being handled.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Reading from the server pauses when more unsent bytes than this are buffered for the caller...
constexpr std::size_t CongestionThreshold = 262'144;
/// ...and resumes when fewer than this are left.
constexpr std::size_t ResumeThreshold = 65'536;
/// The same while the instance holds many bytes.
constexpr std::size_t TightCongestionThreshold = 16'384;
constexpr std::size_t TightResumeThreshold = 4'096;
/// An empty buffer of more bytes is freed.
constexpr std::size_t MaxIdleBufferBytes = 16'384;
/// How long a connection is still read after its last response, so that the response arrives.
constexpr Base::Milliseconds LingerTime{1'000};

} // namespace

CallerConnection::CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
    RequestHandler &handler, LimitsProvider limitsProvider, BufferAccount &buffers,
    std::function<void(CallerConnection &)> onClosed)
    : m_reactor(reactor)
    , m_socket(reactor, socket, *this)
    , m_handler(handler)
    , m_limitsProvider(std::move(limitsProvider))
    , m_buffers(buffers)
    , m_requestBuffer(buffers, BufferKind::Request, this)
    , m_unsentBuffer(buffers, BufferKind::UnsentResponse, this)
    , m_onClosed(std::move(onClosed))
{
}

void CallerConnection::start()
{
    awaitRequest();
    readAvailable();
}

void CallerConnection::closeWhenIdle()
{
    m_closesAfterResponse = true;
    closeIfIdle();
}

void CallerConnection::closeIfIdle()
{
    // The previous response may still be on its way to a slow caller.
    const bool isIdle = m_state == State::Reading && !isBusy() && m_socket.unsentBytes() == 0;
    if (isIdle)
        close(false);
}

void CallerConnection::onReady(Net::Readiness readiness)
{
    const auto self = shared_from_this();
    if (readiness.canWrite) {
        if (!m_socket.flush())
            return onDisconnected();
        if (m_state == State::Lingering && m_socket.unsentBytes() == 0)
            m_socket.shutdownSend();
        if (m_closesAfterResponse)
            closeIfIdle();
        const auto resumeThreshold = m_buffers.isTight() ? TightResumeThreshold : ResumeThreshold;
        if (m_isCongested && m_socket.unsentBytes() < resumeThreshold) {
            m_isCongested = false;
            if (m_request)
                m_request->onCallerWritable();
        }
    }
    if (m_state != State::Closed && (readiness.canRead || readiness.hasError))
        readAvailable();
    updateBuffers();
}

void CallerConnection::onFailure()
{
    const auto self = shared_from_this();
    onDisconnected();
}

void CallerConnection::updateBuffers()
{
    if (m_received.empty() && m_received.capacity() > MaxIdleBufferBytes)
        m_received = {};
    const bool isOpen = m_state != State::Closed;
    m_requestBuffer.set(isOpen ? m_received.capacity() + m_body.capacity() : 0);
    m_unsentBuffer.set(isOpen ? m_socket.bufferedBytes() : 0);
}

void CallerConnection::onBufferReclaimed(BufferKind kind)
{
    const auto self = shared_from_this();
    if (kind == BufferKind::UnsentResponse)
        return onDisconnected();
    // A request that is being handled needs its bytes no more.
    if (m_state != State::Reading)
        return;
    m_received = {};
    m_body = {};
    reject(Base::ErrorKind::MemoryFull);
}

void CallerConnection::readAvailable()
{
    const auto outcome = m_socket.read(m_received);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome != Net::ReadOutcome::Data)
        return onDisconnected();
    if (m_state == State::Lingering) {
        m_received.clear();
        return;
    }
    parse();
    if (m_state == State::Handling && m_received.size() > MaxReadAheadBytes)
        m_socket.setReading(false);
}

void CallerConnection::onDisconnected()
{
    auto request = std::exchange(m_request, nullptr);
    close(true);
    if (request)
        request->onCallerDisconnected();
}

void CallerConnection::parse()
{
    while (m_state == State::Reading && (!m_received.empty() || m_head)) {
        const bool hasProgress = m_head ? parseBody() : parseHead();
        if (!hasProgress)
            return;
    }
}

bool CallerConnection::parseHead()
{
    const auto limits = m_limitsProvider();
    const auto end = Http::findHeadEnd(m_received);
    if (end.value_or(m_received.size()) > limits.headerBytes) {
        reject(Base::ErrorKind::HeadersTooLarge);
        return false;
    }
    if (!end)
        return false;
    auto outcome = Base::toOutcome<Http::RequestHead>(
        [&] { return Http::tryParseRequestHead(std::string_view(m_received).substr(0, *end)); });
    m_received.erase(0, *end);
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
    m_received.erase(0, m_bodyDecoder->decode(m_received, m_body));
    if (m_bodyDecoder->isMalformed()) {
        reject(Base::ErrorKind::MalformedRequest);
        return false;
    }
    if (m_body.size() > m_limitsProvider().bodyBytes) {
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
    m_state = State::Handling;
    ++m_timerGeneration;
    m_closesAfterResponse = m_closesAfterResponse || !m_head->getKeepAlive();
    m_isStreamChunked = m_head->getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    auto request = m_handler.handle(std::move(m_head), std::move(m_body), *this);
    // The handler may already have sent the response.
    if (m_state == State::Handling)
        m_request = std::move(request);
}

void CallerConnection::reject(Base::ErrorKind kind)
{
    m_state = State::Handling;
    m_closesAfterResponse = true;
    m_head.reset();
    m_handler.reject(kind, *this);
}

void CallerConnection::sendHead(Poco::Net::HTTPResponse &head)
{
    m_closesAfterResponse = m_closesAfterResponse || m_handler.isDraining();
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(!m_closesAfterResponse);
    std::ostringstream stream;
    head.write(stream);
    send(stream.str());
}

void CallerConnection::sendResponse(Poco::Net::HTTPResponse &head, std::string_view body)
{
    if (m_state != State::Handling)
        return;
    const auto status = head.getStatus();
    if (status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    sendHead(head);
    send(body);
    finishResponse();
}

void CallerConnection::beginStream(Poco::Net::HTTPResponse &head)
{
    if (m_state != State::Handling)
        return;
    if (m_isStreamChunked) {
        head.setChunkedTransferEncoding(true);
    } else {
        m_closesAfterResponse = true;
    }
    sendHead(head);
}

void CallerConnection::sendStream(std::string_view bytes)
{
    if (m_state != State::Handling || bytes.empty())
        return;
    if (!m_isStreamChunked)
        return send(bytes);
    std::string chunk;
    Http::appendChunk(chunk, bytes);
    send(chunk);
}

void CallerConnection::endStream()
{
    if (m_state != State::Handling)
        return;
    if (m_isStreamChunked)
        send(Http::LastChunk);
    finishResponse();
}

void CallerConnection::abort()
{
    m_request.reset();
    close(true);
}

bool CallerConnection::isCongested() const
{
    return m_socket.unsentBytes()
        > (m_buffers.isTight() ? TightCongestionThreshold : CongestionThreshold);
}

void CallerConnection::send(std::string_view bytes)
{
    if (!m_socket.send(bytes)) {
        // The request that sends the response is on the call stack, so it is notified later by the
        // reactor.
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onDisconnected();
        });
        return;
    }
    m_isCongested = m_isCongested || isCongested();
    updateBuffers();
}

void CallerConnection::finishResponse()
{
    m_request.reset();
    if (m_closesAfterResponse)
        return linger();
    m_state = State::Reading;
    m_socket.setReading(true);
    awaitRequest();
    // The next request may already be buffered; the reactor parses it later.
    if (!m_received.empty()) {
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->parse();
        });
    }
}

void CallerConnection::awaitRequest()
{
    const auto timerGeneration = ++m_timerGeneration;
    const auto limits = m_limitsProvider();
    m_reactor.schedule(limits.idleTimeout, [weak = weak_from_this(), timerGeneration] {
        if (const auto self = weak.lock())
            self->onReadTimeout(timerGeneration, true);
    });
}

void CallerConnection::onReadTimeout(std::uint64_t timerGeneration, bool isIdle)
{
    if (timerGeneration != m_timerGeneration || m_state != State::Reading)
        return;
    if (!isBusy())
        return close(false);
    if (!isIdle)
        return reject(Base::ErrorKind::RequestReadTimeout);
    m_reactor.schedule(
        m_limitsProvider().headerTimeout, [weak = weak_from_this(), timerGeneration] {
            if (const auto self = weak.lock())
                self->onReadTimeout(timerGeneration, false);
        });
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_received.clear();
    m_socket.setReading(true);
    // Only the sending side is shut down: after a full close, data that the caller still sends
    // would cause a reset that destroys the response.
    if (m_socket.unsentBytes() == 0)
        m_socket.shutdownSend();
    m_unsentBytes = m_socket.unsentBytes();
    m_progressAt = m_reactor.now();
    scheduleLingerCheck();
}

void CallerConnection::scheduleLingerCheck()
{
    m_reactor.schedule(LingerTime, [self = shared_from_this()] { self->checkLinger(); });
}

void CallerConnection::checkLinger()
{
    if (m_state == State::Closed)
        return;
    const auto unsentBytes = m_socket.unsentBytes();
    const bool isSent = unsentBytes == 0 && m_unsentBytes == 0;
    const auto now = m_reactor.now();
    if (unsentBytes < m_unsentBytes)
        m_progressAt = now;
    m_unsentBytes = unsentBytes;
    // A slow caller gets its whole response, one that takes nothing more does not.
    const bool isStalled = unsentBytes > 0 && now - m_progressAt >= m_limitsProvider().idleTimeout;
    if (isSent || isStalled)
        return close(isStalled);
    scheduleLingerCheck();
}

void CallerConnection::close(bool isAborted)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_socket.close(isAborted);
    m_onClosed(*this);
}

} // namespace Carawaykeel::Ingress
