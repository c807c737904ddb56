#include <Carawaykeel/Ingress/CallerConnection.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <sstream>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Bytes that are received beyond the request that is being handled. The rest stays with the
/// caller; a few are read so that its end of the connection is noticed.
constexpr std::size_t PipelineBytes = 4'096;
/// Reading from the server pauses when more unsent bytes than this are buffered for the caller...
constexpr std::size_t CongestionThreshold = 262'144;
/// ...and resumes when fewer than this are left.
constexpr std::size_t ResumeThreshold = 65'536;
/// The same while the instance holds many bytes.
constexpr std::size_t TightCongestionThreshold = 16'384;
constexpr std::size_t TightResumeThreshold = 4'096;
/// A caller makes progress when it has taken this much of what is buffered.
constexpr std::size_t MinProgressBytes = 4'096;

std::string peerOf(const Poco::Net::StreamSocket &socket)
{
    try {
        return socket.peerAddress().host().toString();
    } catch (const Poco::Exception &) {
        // The caller has already closed the connection.
        return {};
    }
}

} // namespace

CallerConnection::CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
    RequestHandler &handler, LimitsProvider limitsProvider, BufferAccount &buffers,
    const CallerPolicy &policy, std::function<void(CallerConnection &)> onClosed)
    : m_reactor(reactor)
    , m_socket(reactor, socket, *this)
    , m_peer(peerOf(socket))
    , m_handler(handler)
    , m_limitsProvider(std::move(limitsProvider))
    , m_policy(policy)
    , m_buffers(buffers)
    , m_reader(buffers, *this, m_peer)
    , m_unsentBuffer(buffers, BufferKind::UnsentResponse, this)
    , m_onClosed(std::move(onClosed))
    , m_waitingSince(reactor.now())
{
}

void CallerConnection::start()
{
    readAvailable();
    update();
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
        onFlushed();
    }
    if (m_state != State::Closed && (readiness.canRead || readiness.hasError)) {
        // While nothing is read, an error is the only way to learn that the caller has gone.
        if (readiness.hasError && !m_socket.isReading())
            return onDisconnected();
        readAvailable();
    }
    update();
}

void CallerConnection::onFlushed()
{
    const auto unsentBytes = m_socket.unsentBytes();
    if (unsentBytes == 0 || unsentBytes + MinProgressBytes <= m_unsentBytes) {
        m_takenAt = m_reactor.now();
        m_unsentBytes = unsentBytes;
        m_unsentBuffer.noteProgress();
    }
    if (m_state == State::Lingering && unsentBytes == 0)
        m_socket.shutdownSend();
    if (m_closesAfterResponse)
        closeIfIdle();
    const auto resumeThreshold = m_buffers.isTight() ? TightResumeThreshold : ResumeThreshold;
    if (m_isCongested && unsentBytes < resumeThreshold) {
        m_isCongested = false;
        if (m_request)
            m_request->onCallerWritable();
    }
    // A pipelined request waits until the response before it is taken.
    if (unsentBytes == 0)
        parse();
}

void CallerConnection::onFailure()
{
    const auto self = shared_from_this();
    onDisconnected();
}

void CallerConnection::update()
{
    const bool isOpen = m_state != State::Closed;
    m_reader.updateBuffer(isOpen);
    m_unsentBuffer.set(isOpen ? m_socket.bufferedBytes() : 0);
    if (!isOpen)
        return;
    const bool isWaiting = m_state == State::Handling
        || (m_state == State::Reading && !m_reader.hasHead() && m_socket.unsentBytes() > 0);
    m_socket.setReading(!isWaiting || m_reader.received().size() < PipelineBytes);
}

void CallerConnection::onBufferReclaimed(BufferKind kind)
{
    const auto self = shared_from_this();
    recordRefusal(RefusalKind::Memory);
    if (kind == BufferKind::UnsentResponse)
        return onDisconnected();
    if (m_state == State::Reading)
        return reject(Base::ErrorKind::MemoryFull);
    // The request that is being handled needs these bytes no more; later ones have not run.
    m_reader.clear();
    m_closesAfterResponse = true;
}

void CallerConnection::readAvailable()
{
    if (m_state == State::Lingering)
        return discardAvailable();
    const bool isReading = m_state == State::Reading;
    const auto received = m_reader.received().size();
    const auto allowance = isReading ? m_reader.allowance(m_limitsProvider())
                                     : PipelineBytes - std::min(PipelineBytes, received);
    if (allowance == 0)
        return;
    const auto outcome = m_socket.read(m_reader.received(), allowance);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome != Net::ReadOutcome::Data)
        return onDisconnected();
    parse();
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
    while (m_state == State::Reading && !m_reader.isEmpty()) {
        if (!m_reader.hasHead() && m_socket.unsentBytes() > 0)
            return;
        const bool hasProgress = m_reader.hasHead() ? parseBody() : parseHead();
        if (!hasProgress)
            return;
    }
}

bool CallerConnection::parseHead()
{
    switch (m_reader.readHead(m_limitsProvider())) {
    case RequestReader::Step::NeedsBytes:
        return false;
    case RequestReader::Step::Failed:
        if (m_reader.failure() == Base::ErrorKind::MemoryFull)
            recordRefusal(RefusalKind::Memory);
        reject(m_reader.failure());
        return false;
    case RequestReader::Step::Complete:
        dispatch();
        return false;
    case RequestReader::Step::HeadRead:
        break;
    }
    if (!m_handler.wantsBody(m_reader.head())) {
        dispatchWithoutBody();
        return false;
    }
    if (!m_reader.tryReserveBody()) {
        recordRefusal(RefusalKind::Memory);
        reject(Base::ErrorKind::MemoryFull);
        return false;
    }
    if (m_reader.head().getExpectContinue())
        send("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool CallerConnection::parseBody()
{
    switch (m_reader.readBody(m_limitsProvider())) {
    case RequestReader::Step::Complete:
        dispatch();
        break;
    case RequestReader::Step::Failed:
        if (m_reader.failure() == Base::ErrorKind::MemoryFull)
            recordRefusal(RefusalKind::Memory);
        reject(m_reader.failure());
        break;
    default:
        break;
    }
    return false;
}

void CallerConnection::beginHandling()
{
    m_state = State::Handling;
    m_closesAfterResponse = m_closesAfterResponse || !m_reader.head().getKeepAlive();
    m_isStreamChunked = m_reader.head().getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
}

void CallerConnection::dispatch()
{
    beginHandling();
    auto head = m_reader.takeHead();
    auto request = m_handler.handle(std::move(head), m_reader.takeBody(), *this);
    // The handler may already have sent the response.
    if (m_state == State::Handling)
        m_request = std::move(request);
}

void CallerConnection::dispatchWithoutBody()
{
    beginHandling();
    // What is left of the body is discarded after the response.
    m_closesAfterResponse = m_closesAfterResponse || !m_reader.trySkipBody();
    m_handler.handleWithoutBody(m_reader.takeHead(), *this);
}

void CallerConnection::reject(Base::ErrorKind kind)
{
    m_state = State::Handling;
    m_closesAfterResponse = true;
    m_reader.clear();
    m_handler.reject(kind, *this);
}

void CallerConnection::sendHead(Poco::Net::HTTPResponse &head)
{
    // While connections are short, a caller that pipelines requests would never wait for one, and
    // its connection would never make room for another. What it has sent further has not run.
    const bool isPipelining = !m_reader.isEmpty();
    const bool isShort = m_policy.descriptors && m_policy.descriptors->isShort();
    m_closesAfterResponse =
        m_closesAfterResponse || m_handler.isDraining() || (isShort && isPipelining);
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
    if (!m_isCongested && isCongested()) {
        m_isCongested = true;
        m_congestedSince = m_reactor.now();
        m_takenAt = m_congestedSince;
    }
    if (m_unsentBytes == 0)
        m_takenAt = m_reactor.now();
    m_unsentBytes = std::max(m_unsentBytes, m_socket.unsentBytes());
    update();
}

void CallerConnection::finishResponse()
{
    m_request.reset();
    if (m_closesAfterResponse)
        return linger();
    m_state = State::Reading;
    m_waitingSince = m_reactor.now();
    update();
    // The next request may already be buffered; the reactor parses it later.
    if (!m_reader.isEmpty()) {
        m_reactor.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->parse();
                self->update();
            }
        });
    }
}

void CallerConnection::close(bool isAborted)
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_reader.clear();
    update();
    m_socket.close(isAborted);
    m_onClosed(*this);
}

} // namespace Carawaykeel::Ingress
