#include <Carawaykeel/Ingress/Exchange.h>

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Forwarding/InactivityTimeout.h>
#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Http/HopByHopFields.h>
#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// No further attempt is made with less remaining time than this.
constexpr Base::Milliseconds MinTimeForAttempt{20};
constexpr std::string_view BrokenOffOutcome = "broken_off";

} // namespace

Exchange::Exchange(ExchangeContext &context, Http::RequestHead head, std::string body,
    ResponseWriter &responseWriter)
    : m_context(context)
    , m_configuration(context.configuration)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_requestBuffer(context.buffers, BufferKind::Other)
    , m_responseBuffer(context.buffers, BufferKind::Response, this)
    , m_responseWriter(&responseWriter)
    , m_startedAt(context.reactor.now())
{
    m_requestBuffer.set(m_body.capacity() + Http::occupiedBytes(*m_head));
    ++m_context.activeExchanges;
    ++m_context.startedExchanges;
}

Exchange::~Exchange()
{
    if (m_isFinished)
        return;
    --m_context.activeExchanges;
    cancelTimers();
}

void Exchange::cancelTimers()
{
    m_context.timers.cancel(m_timeoutTimer);
    m_context.timers.cancel(m_inactivityTimer);
}

void Exchange::start()
{
    auto admitted = Base::toOutcome<bool>([this]() -> Base::Result<bool> {
        BOOST_LEAF_CHECK(tryAdmit());
        return true;
    });
    if (const auto *failure = std::get_if<Base::Failure>(&admitted))
        return fail(*failure);
    startTimeout();
    checkPrompt();
}

void Exchange::startTimeout()
{
    m_timeoutTimer = m_context.timers.add(m_timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
}

Base::Milliseconds Exchange::elapsed() const
{
    return m_context.reactor.now() - m_startedAt;
}

Base::Milliseconds Exchange::remainingTime() const
{
    return m_timeout - elapsed();
}

void Exchange::sendAttempt()
{
    if (m_sentAttempts == 0)
        m_progress.timeToFirstAttempt = elapsed();
    if (!canMeetDeadline())
        return fail(deadlineFailure());
    if (!m_hasStreamStarted && !m_isTrial
        && m_context.promptGuard.isQuarantined(m_requestMetadata.promptParts)) {
        auto failure =
            quarantineFailure(m_context.promptGuard.retryAfter(m_requestMetadata.promptParts));
        if (m_mayHaveRun)
            failure.kind = Base::ErrorKind::ServerFailed;
        return fail(failure);
    }
    while (!m_isFinished) {
        const auto now = m_context.reactor.now();
        const auto hint = selectionHint();
        const auto *server = m_context.serverPool.selectServer(hint, now);
        if (!server) {
            return fail(noServerFailure(
                m_mayHaveRun ? Base::ErrorKind::ServerFailed : Base::ErrorKind::NoServerAvailable,
                "no server is left to try"));
        }
        m_server = server->entry.name;
        m_serverDataCentre = server->entry.dataCentre;
        m_triedServers.insert(m_server);
        const auto bytes = encode(*server);
        m_connection = m_context.serverConnections.acquire(server->entry.address);
        if (!m_connection) {
            m_context.serverPool.onRequestSent(m_server, {}, now);
            m_context.serverPool.onAttemptEnded(m_server, true, now);
            m_context.serverPool.onConnectionFailed(m_server, now);
            continue;
        }
        ++m_sentAttempts;
        m_response = Response();
        m_responseBuffer.set(0);
        m_responseBuffer.setSource(m_server.text());
        m_lastActivityAt = now;
        m_tokensAhead = m_context.serverPool.tokensAhead(*server, now);
        m_loadReportAge = now - server->reportedAt;
        beginMeasurement(*server, hint);
        m_unprocessedTokens =
            m_context.serverPool.onRequestSent(m_server, m_requestMetadata.promptParts, now);
        m_context.backlogBroadcaster.onBacklogChanged(m_server);
        m_context.delays.onBytesSent(bytes.size(), now);
        m_connection->sendRequest(m_head->getMethod(), m_requestMetadata.id, bytes, *this);
        startInactivityTimer();
        return;
    }
}

void Exchange::startInactivityTimer()
{
    if (!m_route.isIdempotent())
        return;
    const auto tokensToProcess = m_unprocessedTokens > Base::Tokens()
        ? m_unprocessedTokens + Base::Tokens(m_tokensAhead)
        : m_unprocessedTokens;
    const auto inactivityLimit = Forwarding::inactivityTimeout(m_route, tokensToProcess);
    m_context.timers.cancel(m_inactivityTimer);
    m_inactivityTimer = m_context.timers.add(inactivityLimit,
        [weak = weak_from_this(), timerGeneration = ++m_inactivityTimerGeneration,
            inactivityLimit] {
            const auto self = weak.lock();
            if (!self || self->m_isFinished || self->m_inactivityTimerGeneration != timerGeneration
                || !self->m_connection)
                return;
            if (self->m_context.reactor.now() - self->m_lastActivityAt < inactivityLimit)
                return self->startInactivityTimer();
            const bool canRetry = self->m_sentAttempts < self->m_route.maxAttempts
                && self->m_context.serverPool.hasUntriedServer(
                    self->m_service, self->m_triedServers, self->m_context.reactor.now())
                && self->m_context.retryBudget.remainingRetries(
                       self->m_service, self->m_context.reactor.now())
                    > 0;
            if (!canRetry)
                return self->startInactivityTimer();
            self->failAttempt(Forwarding::AttemptOutcome::ConnectionLost);
        });
}

void Exchange::failAttempt(Forwarding::AttemptOutcome outcome)
{
    m_connection->cancel();
    endFailedAttempt(outcome);
}

void Exchange::onResponseFailed(Forwarding::AttemptOutcome outcome)
{
    const bool isConnectionFailure = outcome == Forwarding::AttemptOutcome::NotSent
        || outcome == Forwarding::AttemptOutcome::ConnectionLost;
    if (isConnectionFailure && !m_isFinished)
        m_context.serverPool.onConnectionFailed(m_server, m_context.reactor.now());
    endFailedAttempt(outcome);
}

void Exchange::endFailedAttempt(Forwarding::AttemptOutcome outcome)
{
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    if (outcome != Forwarding::AttemptOutcome::NotSent) {
        m_mayHaveRun = true;
    } else {
        --m_sentAttempts;
    }
    m_events.discardPartialEvent();
    if (outcome == Forwarding::AttemptOutcome::ConnectionLost && !m_response.hasContent) {
        if (const auto *server = m_context.serverPool.findEntry(m_server))
            m_context.promptGuard.onConnectionLost(*server, m_requestMetadata.promptParts);
        if (std::exchange(m_isTrial, false))
            m_context.promptGuard.onTrialFailed(m_requestMetadata.promptParts);
    }
    // A request that was withdrawn because of an evacuation says nothing about its server.
    endAttempt(outcome != Forwarding::AttemptOutcome::NotSent || isServerAllowed());
    handleAttemptOutcome(outcome);
}

void Exchange::markResponded()
{
    if (!std::exchange(m_response.hasContent, true))
        m_context.promptGuard.onResponded(m_requestMetadata.promptParts);
}

void Exchange::markPromptProcessed()
{
    if (m_unprocessedTokens == Base::Tokens())
        return;
    m_context.serverPool.onPromptProcessed(
        m_server, std::exchange(m_unprocessedTokens, Base::Tokens()));
    m_context.backlogBroadcaster.onBacklogChanged(m_server);
}

void Exchange::endAttempt(bool hasFailed)
{
    markPromptProcessed();
    m_context.serverPool.onMemoryFreed(
        m_server, std::exchange(m_attempt.memoryTokens, Base::Tokens()));
    m_context.serverPool.onAttemptEnded(m_server, hasFailed, m_context.reactor.now());
    if (m_connection)
        m_context.serverConnections.release(std::exchange(m_connection, nullptr));
}

void Exchange::handleAttemptOutcome(Forwarding::AttemptOutcome outcome)
{
    const auto now = m_context.reactor.now();
    Forwarding::AttemptState state;
    state.outcome = outcome;
    state.sentAttempts = m_sentAttempts;
    state.mayHaveRun = m_mayHaveRun;
    state.hasResponseStarted = m_hasStreamStarted;
    state.hasRetryBudget = m_context.retryBudget.remainingRetries(m_service, now) > 0;
    state.hasOtherServer = remainingTime() > MinTimeForAttempt
        && m_context.serverPool.hasUntriedServer(m_service, m_triedServers, now);
    state.hasNotExecutedStatus =
        m_response.head && Base::promisesNotExecuted(m_response.head->getStatus());
    const auto decision = Forwarding::decideAfterAttempt(m_route, state);
    m_context.log.info(Logging::LogEvent::AttemptFailed,
        Logging::LogFields()
            .add("id", m_requestMetadata.id)
            .add("server", m_server.text())
            .add("end", Forwarding::nameOf(outcome))
            .add("attempts", m_sentAttempts)
            .add("retries_left", m_context.retryBudget.remainingRetries(m_service, now))
            .add("slack_instances", m_context.retryBudget.instanceCount().value_or(0))
            .add("other_server", state.hasOtherServer)
            .add("may_have_run", m_mayHaveRun)
            .add("status", m_response.head ? static_cast<int>(m_response.head->getStatus()) : 0)
            .add("ms_left", remainingTime().count())
            .add("step", Forwarding::nameOf(decision.step)));
    switch (decision.step) {
    case Forwarding::NextStep::Retry:
        if (outcome != Forwarding::AttemptOutcome::NotSent)
            m_context.retryBudget.tryTake(m_service, now);
        return sendAttempt();
    case Forwarding::NextStep::ForwardFailure:
        return forwardResponse();
    case Forwarding::NextStep::AbortResponse:
        return abortStream(BrokenOffOutcome);
    case Forwarding::NextStep::Fail:
        break;
    }
    fail({decision.kind, "", noServerRetryAfter()});
}

void Exchange::abortStream(std::string_view outcome)
{
    if (m_responseWriter)
        m_responseWriter->abort();
    finish(outcome);
}

void Exchange::forwardResponse()
{
    // The stream that the caller receives cannot end with another response.
    if (m_hasStreamStarted)
        return abortStream(BrokenOffOutcome);
    if (m_responseWriter)
        m_responseWriter->sendResponse(*m_response.head, m_response.body);
    finish(ServedOutcome);
}

void Exchange::cancelAttempt()
{
    if (!m_connection)
        return;
    m_connection->cancel();
    m_mayHaveRun = true;
    endAttempt(false);
}

void Exchange::onTimeout()
{
    if (m_isFinished)
        return;
    cancelAttempt();
    if (m_hasStreamStarted)
        return abortStream("timed_out_midway");
    fail({m_mayHaveRun ? Base::ErrorKind::ServerTimeout : Base::ErrorKind::QueueTimeout, "",
        Base::Milliseconds()});
}

void Exchange::onCallerDisconnected()
{
    m_responseWriter = nullptr;
    if (m_isFinished)
        return;
    cancelAttempt();
    finish("caller_gone");
}

void Exchange::onCallerWritable()
{
    if (m_connection)
        m_connection->setReading(true);
}

void Exchange::fail(const Base::Failure &failure)
{
    if (m_isFinished)
        return;
    m_failureReason = failure.message;
    recordEvacuationRejection(failure);
    if (m_hasStreamStarted)
        return abortStream(BrokenOffOutcome);
    if (m_responseWriter)
        sendErrorResponse(*m_responseWriter, failure, m_context.dialect);
    finish(Base::errorResponseFor(failure.kind).name);
}

void Exchange::finish(std::string_view outcome)
{
    if (std::exchange(m_isFinished, true))
        return;
    --m_context.activeExchanges;
    m_responseWriter = nullptr;
    m_responseBuffer.set(0);
    cancelTimers();
    settle();
    m_context.metrics.record({m_service, outcome, elapsed(), m_progress.timeToFirstEvent,
        m_progress.timeToFirstAttempt, m_sentAttempts});
    logRequest(outcome);
}

void Exchange::logRequest(std::string_view outcome)
{
    Logging::LogFields fields;
    fields.add("id", m_requestMetadata.id)
        .add("outcome", outcome)
        .add("route", m_route.name)
        .add("team", m_team.text())
        .add("configuration", m_configuration ? m_configuration->version() : 0)
        .add("ms", elapsed().count())
        .add("held_ms", m_progress.timeToFirstAttempt.count())
        .add("first_event_ms", m_progress.timeToFirstEvent.count())
        .add("longest_pause_ms", m_progress.longestEventGap.count())
        .add("events", m_events.eventCount())
        .add("attempts", m_sentAttempts)
        .add("server", m_server.text())
        .add("tokens_ahead", m_tokensAhead)
        .add("load_age_ms", m_loadReportAge.count())
        .add("prompt_tokens", m_requestMetadata.promptTokens.count())
        .add("used_tokens", m_usedTokens.count());
    logMeasurement(fields);
    if (!m_failureReason.empty())
        fields.add("reason", m_failureReason);
    const bool isRoutine = outcome == ServedOutcome && m_sentAttempts == 1;
    if (isRoutine) {
        m_context.log.routineInfo(Logging::LogEvent::Request, fields);
    } else {
        m_context.log.info(Logging::LogEvent::Request, fields);
    }
}

} // namespace Carawaykeel::Ingress
