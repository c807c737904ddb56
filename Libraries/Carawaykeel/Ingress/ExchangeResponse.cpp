// The part of Exchange that receives a server's response and forwards a stream.
#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Http/HopByHopFields.h>
#include <Carawaykeel/Ingress/Exchange.h>

#include <utility>

namespace Carawaykeel::Ingress {

namespace {

constexpr int FirstNonSuccessStatus = 300;
/// Maximum size of a response that is buffered completely before it is forwarded, equal to the
/// default limit of request bodies. Plain services respond with a few kilobytes.
constexpr std::size_t MaxBufferedResponseBytes = 4 * 1'024 * 1'024;

} // namespace

bool Exchange::isSuccess() const
{
    return m_response.head && m_response.head->getStatus() < FirstNonSuccessStatus;
}

void Exchange::onResponseHead(
    const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &metadata)
{
    m_lastActivityAt = m_context.reactor.now();
    m_response.head = std::make_unique<Poco::Net::HTTPResponse>(head);
    m_response.metadata = metadata;
    // A success shows that the request was executed, whatever else the server states.
    m_response.metadata.isNotExecuted = metadata.isNotExecuted && !isSuccess();
    m_response.hasLength = head.hasContentLength();
    m_response.isChunked = head.getChunkedTransferEncoding();
    Http::removeHopByHopFields(*m_response.head);
    Http::removeFramingFields(*m_response.head);
    if (metadata.reportedLoad)
        m_context.serverPool.onLoadReport(m_server, *metadata.reportedLoad, m_lastActivityAt);
    if (metadata.remainingColdTime) {
        m_context.serverPool.onColdTimeStated(
            m_server, *metadata.remainingColdTime, m_lastActivityAt);
    }
    if (metadata.isServerLeaving && m_context.serverPool.onServerLeaving(m_server)) {
        m_context.log.info(Logging::LogEvent::ServerLeavingAnswered,
            Logging::LogFields().add("server", m_server.text()).add("id", m_requestMetadata.id));
    }
    if (m_response.metadata.isNotExecuted && metadata.retryAfter) {
        const auto pausedUntil =
            m_context.serverPool.onServerPaused(m_server, *metadata.retryAfter, m_lastActivityAt);
        m_context.log.info(Logging::LogEvent::ServerPaused,
            Logging::LogFields()
                .add("server", m_server.text())
                .add("asked_ms", metadata.retryAfter->count())
                .add("ms", (pausedUntil - m_lastActivityAt).count()));
    }
    m_mayHaveRun = m_mayHaveRun || !m_response.metadata.isNotExecuted;
}

void Exchange::onResponseBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastActivityAt = m_context.reactor.now();
    m_context.delays.onBytesSent(bytes.size(), m_lastActivityAt);
    m_attempt.firstPartAt = m_attempt.firstPartAt.value_or(m_lastActivityAt);
    if (m_unprocessedTokens > Base::Tokens()) {
        markPromptProcessed();
        // The prompt is processed, so the timeout no longer includes its processing time.
        startInactivityTimer();
    }
    if (isStream() && isSuccess())
        return forwardEvents(bytes);
    if (m_response.body.size() + bytes.size() > MaxBufferedResponseBytes)
        return failAttempt(Forwarding::AttemptOutcome::InvalidResponse);
    m_response.body.append(bytes);
    m_responseBuffer.set(m_response.body.capacity());
}

void Exchange::onBufferReclaimed(BufferKind)
{
    if (m_isFinished || !m_connection)
        return;
    m_response.body = {};
    failAttempt(Forwarding::AttemptOutcome::InvalidResponse);
}

void Exchange::forwardEvents(std::string_view bytes)
{
    std::string completeEvents;
    if (!m_events.feed(bytes, completeEvents))
        return failAttempt(Forwarding::AttemptOutcome::InvalidResponse);
    m_responseBuffer.set(m_events.partialEvent().size());
    if (completeEvents.empty())
        return;
    markResponded();
    if (!m_responseWriter)
        return;
    m_progress.onEvents(elapsed());
    beginStream();
    m_responseWriter->sendStream(completeEvents);
    if (m_responseWriter && m_responseWriter->isCongested()) {
        m_attempt.wasThrottled = true;
        m_connection->setReading(false);
    }
}

void Exchange::beginStream()
{
    // A stream that resumes at another server keeps the response head of the first.
    if (std::exchange(m_hasStreamStarted, true))
        return;
    m_responseWriter->beginStream(*m_response.head);
}

void Exchange::onResponseComplete()
{
    const auto self = shared_from_this();
    m_lastActivityAt = m_context.reactor.now();
    const auto status = m_response.head->getStatus();
    if (m_response.metadata.isNotExecuted) {
        endAttempt(true);
        return handleAttemptOutcome(Forwarding::AttemptOutcome::RefusedByServer);
    }
    if (!isSuccess()) {
        const bool isServerFailure = status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
            || Base::promisesNotExecuted(status);
        endAttempt(isServerFailure);
        if (isServerFailure)
            return handleAttemptOutcome(Forwarding::AttemptOutcome::FailedByServer);
        // An error in the caller's request would occur at another server too.
        return forwardResponse();
    }
    if (!m_response.metadata.hasServerStamp) {
        endAttempt(true);
        return handleAttemptOutcome(Forwarding::AttemptOutcome::InvalidResponse);
    }
    if (isStream() && isBrokenOff())
        return onResponseFailed(Forwarding::AttemptOutcome::ConnectionLost);
    markResponded();
    reportMeasurement();
    endAttempt(false);
    if (!isStream())
        return forwardResponse();
    if (!m_responseWriter)
        return;
    beginStream();
    // Only a response with a length may end with bytes that are no event.
    m_responseWriter->sendStream(m_events.partialEvent());
    m_responseWriter->endStream();
    finish(ServedOutcome);
}

bool Exchange::isBrokenOff() const
{
    if (m_response.hasLength)
        return false;
    // A crash closes the connection too, so the end of the connection alone shows nothing.
    const bool hasNoEvent = !m_response.isChunked && !m_response.hasContent;
    return hasNoEvent || !m_events.partialEvent().empty();
}

} // namespace Carawaykeel::Ingress
