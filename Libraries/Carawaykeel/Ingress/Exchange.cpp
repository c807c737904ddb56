#include <Carawaykeel/Ingress/Exchange.h>

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Forwarding/InactivityTimeout.h>
#include <Carawaykeel/Http/HopByHopFields.h>
#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Less time than this is not worth another attempt.
constexpr Base::Milliseconds LeastTimeForAttempt{20};
constexpr int FirstFailureStatus = 300;
/// Bytes of an answer that is gathered whole before it is passed on: as much as callers may send by
/// default. Plain services answer with some kilobytes.
constexpr std::size_t MostAnswerBytes = 4 * 1'024 * 1'024;
constexpr std::string_view ServedOutcome = "served";

} // namespace

Exchange::Exchange(
    ExchangeContext &context, Http::RequestHead head, std::string body, ResponseWriter &caller)
    : m_context(context)
    , m_configuration(context.configuration)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_caller(&caller)
    , m_startedAt(context.reactor.now())
{
    ++m_context.activeExchanges;
}

Exchange::~Exchange()
{
    if (!m_isFinished)
        --m_context.activeExchanges;
}

void Exchange::start()
{
    auto admitted = Base::toOutcome<bool>([this]() -> Base::Result<bool> {
        BOOST_LEAF_CHECK(tryAdmit());
        return true;
    });
    if (const auto *failure = std::get_if<Base::Failure>(&admitted))
        return fail(*failure);
    startTimers();
    holdTokens();
}

void Exchange::startTimers()
{
    m_context.reactor.schedule(m_allowed, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeout();
    });
}

Base::Milliseconds Exchange::elapsed() const
{
    return m_context.reactor.now() - m_startedAt;
}

Base::Milliseconds Exchange::timeLeft() const
{
    return m_allowed - elapsed();
}

void Exchange::send()
{
    if (m_attemptsSent == 0)
        m_progress.timeToFirstAttempt = elapsed();
    while (!m_isFinished) {
        const auto now = m_context.reactor.now();
        const auto *server =
            m_context.servers.selectServer({m_service, m_terms.promptParts, m_tried}, now);
        if (!server) {
            return fail({m_mayHaveRun ? Base::ErrorKind::ServerConnectionLost
                                      : Base::ErrorKind::NoServerAvailable,
                "no server is left to try", NoServerRetryAfter});
        }
        m_server = server->entry.name;
        m_tried.insert(m_server);
        const auto bytes = encode(*server);
        m_connection = m_context.connections.acquire(server->entry.address);
        if (!m_connection) {
            m_context.servers.onRequestSent(m_server, {}, now);
            m_context.servers.onAttemptEnded(m_server, true, now);
            continue;
        }
        ++m_attemptsSent;
        m_answer = Answer();
        m_lastProgress = now;
        m_tokensAhead = m_context.servers.tokensAhead(*server, now);
        m_loadAge = now - server->reportedAt;
        m_unread = m_context.servers.onRequestSent(m_server, m_terms.promptParts, now);
        m_context.backlogBroadcaster.onBacklogChanged(m_server);
        m_connection->sendRequest(m_head->getMethod(), m_terms.id, bytes, *this);
        watchSilence();
        return;
    }
}

void Exchange::watchSilence()
{
    if (!m_route.isIdempotent())
        return;
    const auto toRead =
        m_unread > Base::Tokens() ? m_unread + Base::Tokens(m_tokensAhead) : m_unread;
    const auto patience = Forwarding::inactivityTimeout(m_route, toRead);
    m_context.reactor.schedule(patience, [weak = weak_from_this(), watch = ++m_watch, patience] {
        const auto self = weak.lock();
        if (!self || self->m_isFinished || self->m_watch != watch || !self->m_connection)
            return;
        if (self->m_context.reactor.now() - self->m_lastProgress < patience)
            return self->watchSilence();
        const bool canGoOn = self->m_attemptsSent < self->m_route.maxAttempts
            && self->m_context.servers.hasUntriedServer(self->m_service, self->m_tried)
            && self->m_context.retries.remainingRetries(
                   self->m_service, self->m_context.reactor.now())
                > 0;
        if (!canGoOn)
            return self->watchSilence();
        self->giveUpAttempt(Forwarding::AttemptOutcome::ConnectionLost);
    });
}

bool Exchange::isSuccess() const
{
    return m_answer.head && m_answer.head->getStatus() < FirstFailureStatus;
}

void Exchange::onResponseHead(
    const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &terms)
{
    m_lastProgress = m_context.reactor.now();
    m_answer.head = std::make_unique<Poco::Net::HTTPResponse>(head);
    m_answer.terms = terms;
    Http::removeHopByHopFields(*m_answer.head);
    Http::removeFramingFields(*m_answer.head);
    if (terms.reportedLoad)
        m_context.servers.onLoadReport(m_server, *terms.reportedLoad, m_lastProgress);
    m_mayHaveRun = m_mayHaveRun || !terms.isNotExecuted;
}

void Exchange::onResponseBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastProgress = m_context.reactor.now();
    if (m_unread > Base::Tokens()) {
        noteRead();
        // From now on silence lasts no longer than a pause between events.
        watchSilence();
    }
    if (isStream() && isSuccess())
        return passEvents(bytes);
    if (m_answer.body.size() + bytes.size() > MostAnswerBytes)
        return giveUpAttempt(Forwarding::AttemptOutcome::InvalidResponse);
    m_answer.body.append(bytes);
}

void Exchange::passEvents(std::string_view bytes)
{
    std::string whole;
    if (!m_events.feed(bytes, whole))
        return giveUpAttempt(Forwarding::AttemptOutcome::InvalidResponse);
    if (whole.empty() || !m_caller)
        return;
    m_progress.onEvents(elapsed());
    beginStream();
    m_caller->sendStream(whole);
    if (m_caller && m_caller->isCongested())
        m_connection->setReading(false);
}

void Exchange::beginStream()
{
    // A stream that goes on at another server keeps the head of the first.
    if (std::exchange(m_hasStreamBegun, true))
        return;
    m_caller->beginStream(*m_answer.head);
}

void Exchange::onResponseComplete()
{
    const auto self = shared_from_this();
    m_lastProgress = m_context.reactor.now();
    const auto status = m_answer.head->getStatus();
    if (m_answer.terms.isNotExecuted) {
        endAttempt(true);
        return afterAttempt(Forwarding::AttemptOutcome::RefusedByServer);
    }
    if (!isSuccess()) {
        endAttempt(status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        // What the caller did wrong stays wrong at another server.
        if (status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
            return afterAttempt(Forwarding::AttemptOutcome::FailedByServer);
        return passAnswerOn();
    }
    if (!m_answer.terms.hasServerStamp) {
        endAttempt(true);
        return afterAttempt(Forwarding::AttemptOutcome::InvalidResponse);
    }
    endAttempt(false);
    if (!isStream())
        return passAnswerOn();
    if (!m_caller)
        return;
    beginStream();
    m_caller->sendStream(m_events.partialEvent());
    m_caller->endStream();
    finish(ServedOutcome);
}

void Exchange::giveUpAttempt(Forwarding::AttemptOutcome end)
{
    m_connection->cancel();
    onResponseFailed(end);
}

void Exchange::onResponseFailed(Forwarding::AttemptOutcome end)
{
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    if (end != Forwarding::AttemptOutcome::NotSent) {
        m_mayHaveRun = true;
    } else {
        --m_attemptsSent;
    }
    m_events.discardPartialEvent();
    endAttempt(true);
    afterAttempt(end);
}

void Exchange::noteRead()
{
    if (m_unread == Base::Tokens())
        return;
    m_context.servers.onPromptProcessed(m_server, std::exchange(m_unread, Base::Tokens()));
    m_context.backlogBroadcaster.onBacklogChanged(m_server);
}

void Exchange::endAttempt(bool hasFailed)
{
    noteRead();
    m_context.servers.onAttemptEnded(m_server, hasFailed, m_context.reactor.now());
    if (m_connection)
        m_context.connections.release(std::exchange(m_connection, nullptr));
}

void Exchange::afterAttempt(Forwarding::AttemptOutcome end)
{
    const auto now = m_context.reactor.now();
    Forwarding::AttemptState state;
    state.outcome = end;
    state.sentAttempts = m_attemptsSent;
    state.mayHaveRun = m_mayHaveRun;
    state.hasResponseStarted = m_hasStreamBegun;
    state.hasRetryBudget = m_context.retries.remainingRetries(m_service, now) > 0;
    state.hasOtherServer =
        timeLeft() > LeastTimeForAttempt && m_context.servers.hasUntriedServer(m_service, m_tried);
    const auto decision = Forwarding::decideAfterAttempt(m_route, state);
    m_context.log.info(Logging::LogEvent::AttemptFailed,
        Logging::LogFields()
            .add("id", m_terms.id)
            .add("server", m_server.text())
            .add("end", Forwarding::nameOf(end))
            .add("attempts", m_attemptsSent)
            .add("retries_left", m_context.retries.remainingRetries(m_service, now))
            .add("slack_instances", m_context.retries.instanceCount().value_or(0))
            .add("other_server", state.hasOtherServer)
            .add("may_have_run", m_mayHaveRun)
            .add("ms_left", timeLeft().count())
            .add("step", Forwarding::nameOf(decision.step)));
    switch (decision.step) {
    case Forwarding::NextStep::Retry:
        if (end != Forwarding::AttemptOutcome::NotSent)
            m_context.retries.tryTake(m_service, now);
        return send();
    case Forwarding::NextStep::ForwardFailure:
        return passAnswerOn();
    case Forwarding::NextStep::AbortResponse:
        if (m_caller)
            m_caller->abort();
        return finish("broken_off");
    case Forwarding::NextStep::Fail:
        break;
    }
    fail({decision.kind, "", NoServerRetryAfter});
}

void Exchange::passAnswerOn()
{
    if (m_caller)
        m_caller->sendResponse(*m_answer.head, m_answer.body);
    finish(ServedOutcome);
}

void Exchange::abandonAttempt()
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
    abandonAttempt();
    if (m_hasStreamBegun) {
        if (m_caller)
            m_caller->abort();
        return finish("timed_out_midway");
    }
    fail({m_mayHaveRun ? Base::ErrorKind::ServerTimeout : Base::ErrorKind::QueueTimeout, "",
        Base::Milliseconds()});
}

void Exchange::onCallerDisconnected()
{
    m_caller = nullptr;
    if (m_isFinished)
        return;
    abandonAttempt();
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
    if (m_caller)
        sendErrorResponse(*m_caller, failure, m_context.dialect);
    m_reason = failure.message;
    finish(Base::errorResponseFor(failure.kind).name);
}

void Exchange::finish(std::string_view outcome)
{
    if (std::exchange(m_isFinished, true))
        return;
    --m_context.activeExchanges;
    m_caller = nullptr;
    settle();
    m_context.metrics.record({m_service, outcome, elapsed(), m_progress.firstEvent,
        m_progress.timeToFirstAttempt, m_attemptsSent});
    logRequest(outcome);
}

void Exchange::logRequest(std::string_view outcome)
{
    Logging::LogFields fields;
    fields.add("id", m_terms.id)
        .add("outcome", outcome)
        .add("route", m_route.name)
        .add("team", m_team.text())
        .add("configuration", m_configuration ? m_configuration->version() : 0)
        .add("ms", elapsed().count())
        .add("held_ms", m_progress.timeToFirstAttempt.count())
        .add("first_event_ms", m_progress.firstEvent.count())
        .add("longest_pause_ms", m_progress.longestPause.count())
        .add("events", m_events.eventCount())
        .add("attempts", m_attemptsSent)
        .add("server", m_server.text())
        .add("tokens_ahead", m_tokensAhead)
        .add("load_age_ms", m_loadAge.count())
        .add("prompt_tokens", m_terms.promptTokens.count())
        .add("used_tokens", m_used.count());
    if (!m_reason.empty())
        fields.add("reason", m_reason);
    const bool isOrdinary = outcome == ServedOutcome && m_attemptsSent == 1;
    if (isOrdinary) {
        m_context.log.routineInfo(Logging::LogEvent::Request, fields);
    } else {
        m_context.log.info(Logging::LogEvent::Request, fields);
    }
}

} // namespace Carawaykeel::Ingress
