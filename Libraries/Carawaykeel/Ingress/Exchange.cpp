#include <Carawaykeel/Ingress/Exchange.h>

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Forwarding/SilenceLimit.h>
#include <Carawaykeel/Http/EndToEndFields.h>
#include <Carawaykeel/Ingress/FailureAnswer.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// No further attempt is made with less remaining time than this.
constexpr Base::Milliseconds LeastTimeForAttempt{20};
constexpr int FirstFailureStatus = 300;
/// Maximum size of a response that is buffered completely before it is forwarded, equal to the
/// default limit of request bodies. Plain services respond with a few kilobytes.
constexpr std::size_t MostAnswerBytes = 4 * 1'024 * 1'024;
constexpr std::string_view ServedOutcome = "served";

} // namespace

Exchange::Exchange(
    ExchangeContext &context, Http::RequestHead head, std::string body, Caller &caller)
    : m_context(context)
    , m_configuration(context.configuration)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_caller(&caller)
    , m_startedAt(context.reactor.now())
{
    ++m_context.active;
}

Exchange::~Exchange()
{
    if (!m_isFinished)
        --m_context.active;
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
        m_progress.heldFor = elapsed();
    while (!m_isFinished) {
        const auto now = m_context.reactor.now();
        const auto *server =
            m_context.servers.choose({m_service, m_terms.promptParts, m_tried}, now);
        if (!server) {
            return fail({m_mayHaveRun ? Base::ErrorKind::ServerBroke : Base::ErrorKind::NoServer,
                "no server is left to try", NoServerDelay});
        }
        m_server = server->entry.name;
        m_tried.insert(m_server);
        const auto bytes = encode(*server);
        m_connection = m_context.connections.take(server->entry.address);
        if (!m_connection) {
            m_context.servers.onSent(m_server, {}, now);
            m_context.servers.onEnded(m_server, true, now);
            continue;
        }
        ++m_attemptsSent;
        m_answer = Answer();
        m_lastProgress = now;
        m_tokensAhead = m_context.servers.tokensBefore(*server, now);
        m_loadAge = now - server->reportedAt;
        m_unread = m_context.servers.onSent(m_server, m_terms.promptParts, now);
        m_context.backlogs.onChanged(m_server);
        m_connection->begin(m_head->getMethod(), m_terms.id, bytes, *this);
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
    const auto patience = Forwarding::silenceLimit(m_route, toRead);
    m_context.reactor.schedule(patience, [weak = weak_from_this(), watch = ++m_watch, patience] {
        const auto self = weak.lock();
        if (!self || self->m_isFinished || self->m_watch != watch || !self->m_connection)
            return;
        if (self->m_context.reactor.now() - self->m_lastProgress < patience)
            return self->watchSilence();
        const bool canGoOn = self->m_attemptsSent < self->m_route.maxAttempts
            && self->m_context.servers.hasOther(self->m_service, self->m_tried)
            && self->m_context.retries.left(self->m_service, self->m_context.reactor.now()) > 0;
        if (!canGoOn)
            return self->watchSilence();
        self->giveUpAttempt(Forwarding::AttemptEnd::Broken);
    });
}

bool Exchange::isSuccess() const
{
    return m_answer.head && m_answer.head->getStatus() < FirstFailureStatus;
}

void Exchange::onAnswerHead(
    const Poco::Net::HTTPResponse &head, const Forwarding::AnswerTerms &terms)
{
    m_lastProgress = m_context.reactor.now();
    m_answer.head = std::make_unique<Poco::Net::HTTPResponse>(head);
    m_answer.terms = terms;
    Http::removeConnectionFields(*m_answer.head);
    Http::removeFramingFields(*m_answer.head);
    if (terms.load)
        m_context.servers.onReport(m_server, *terms.load, m_lastProgress);
    m_mayHaveRun = m_mayHaveRun || !terms.isNotRun;
}

void Exchange::onAnswerBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_lastProgress = m_context.reactor.now();
    if (m_unread > Base::Tokens()) {
        noteRead();
        // The prompt is processed, so the timeout is now that of a gap between events.
        watchSilence();
    }
    if (isStream() && isSuccess())
        return passEvents(bytes);
    if (m_answer.body.size() + bytes.size() > MostAnswerBytes)
        return giveUpAttempt(Forwarding::AttemptEnd::Garbled);
    m_answer.body.append(bytes);
}

void Exchange::passEvents(std::string_view bytes)
{
    std::string whole;
    if (!m_events.feed(bytes, whole))
        return giveUpAttempt(Forwarding::AttemptEnd::Garbled);
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
    // A stream that resumes at another server keeps the response head of the first.
    if (std::exchange(m_hasStreamBegun, true))
        return;
    m_caller->beginStream(*m_answer.head);
}

void Exchange::onAnswerEnd()
{
    const auto self = shared_from_this();
    m_lastProgress = m_context.reactor.now();
    const auto status = m_answer.head->getStatus();
    if (m_answer.terms.isNotRun) {
        endAttempt(true);
        return afterAttempt(Forwarding::AttemptEnd::RefusedByServer);
    }
    if (!isSuccess()) {
        endAttempt(status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
        // An error in the caller's request would occur at another server too.
        if (status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
            return afterAttempt(Forwarding::AttemptEnd::FailedByServer);
        return passAnswerOn();
    }
    if (!m_answer.terms.hasStamp) {
        endAttempt(true);
        return afterAttempt(Forwarding::AttemptEnd::Garbled);
    }
    endAttempt(false);
    if (!isStream())
        return passAnswerOn();
    if (!m_caller)
        return;
    beginStream();
    m_caller->sendStream(m_events.rest());
    m_caller->endStream();
    finish(ServedOutcome);
}

void Exchange::giveUpAttempt(Forwarding::AttemptEnd end)
{
    m_connection->abandon();
    onAnswerFailed(end);
}

void Exchange::onAnswerFailed(Forwarding::AttemptEnd end)
{
    const auto self = shared_from_this();
    if (m_isFinished)
        return;
    if (end != Forwarding::AttemptEnd::NotSent) {
        m_mayHaveRun = true;
    } else {
        --m_attemptsSent;
    }
    m_events.dropRest();
    endAttempt(true);
    afterAttempt(end);
}

void Exchange::noteRead()
{
    if (m_unread == Base::Tokens())
        return;
    m_context.servers.onRead(m_server, std::exchange(m_unread, Base::Tokens()));
    m_context.backlogs.onChanged(m_server);
}

void Exchange::endAttempt(bool hasFailed)
{
    noteRead();
    m_context.servers.onEnded(m_server, hasFailed, m_context.reactor.now());
    if (m_connection)
        m_context.connections.giveBack(std::exchange(m_connection, nullptr));
}

void Exchange::afterAttempt(Forwarding::AttemptEnd end)
{
    const auto now = m_context.reactor.now();
    Forwarding::AttemptState state;
    state.end = end;
    state.attemptsSent = m_attemptsSent;
    state.mayHaveRun = m_mayHaveRun;
    state.hasAnswerBegun = m_hasStreamBegun;
    state.mayRepeat = m_context.retries.left(m_service, now) > 0;
    state.hasOtherServer =
        timeLeft() > LeastTimeForAttempt && m_context.servers.hasOther(m_service, m_tried);
    const auto decision = Forwarding::decideAfterAttempt(m_route, state);
    m_context.log.info(Logging::LogEvent::AttemptFailed,
        Logging::LogFields()
            .add("id", m_terms.id)
            .add("server", m_server.text())
            .add("end", Forwarding::nameOf(end))
            .add("attempts", m_attemptsSent)
            .add("retries_left", m_context.retries.left(m_service, now))
            .add("slack_instances", m_context.retries.instances().value_or(0))
            .add("other_server", state.hasOtherServer)
            .add("may_have_run", m_mayHaveRun)
            .add("ms_left", timeLeft().count())
            .add("step", Forwarding::nameOf(decision.step)));
    switch (decision.step) {
    case Forwarding::NextStep::TryAgain:
        if (end != Forwarding::AttemptEnd::NotSent)
            m_context.retries.tryTake(m_service, now);
        return send();
    case Forwarding::NextStep::PassOn:
        return passAnswerOn();
    case Forwarding::NextStep::BreakOff:
        if (m_caller)
            m_caller->breakOff();
        return finish("broken_off");
    case Forwarding::NextStep::Fail:
        break;
    }
    fail({decision.kind, "", NoServerDelay});
}

void Exchange::passAnswerOn()
{
    if (m_caller)
        m_caller->answer(*m_answer.head, m_answer.body);
    finish(ServedOutcome);
}

void Exchange::abandonAttempt()
{
    if (!m_connection)
        return;
    m_connection->abandon();
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
            m_caller->breakOff();
        return finish("timed_out_midway");
    }
    fail({m_mayHaveRun ? Base::ErrorKind::ServerTimeout : Base::ErrorKind::QueueDeadline, "",
        Base::Milliseconds()});
}

void Exchange::onCallerGone()
{
    m_caller = nullptr;
    if (m_isFinished)
        return;
    abandonAttempt();
    finish("caller_gone");
}

void Exchange::onCallerReady()
{
    if (m_connection)
        m_connection->setReading(true);
}

void Exchange::fail(const Base::Failure &failure)
{
    if (m_isFinished)
        return;
    if (m_caller)
        answerWithFailure(*m_caller, failure, m_context.dialect);
    m_reason = failure.message;
    finish(Base::answerFor(failure.kind).name);
}

void Exchange::finish(std::string_view outcome)
{
    if (std::exchange(m_isFinished, true))
        return;
    --m_context.active;
    m_caller = nullptr;
    settle();
    m_context.metrics.note(
        {m_service, outcome, elapsed(), m_progress.firstEvent, m_progress.heldFor, m_attemptsSent});
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
        .add("held_ms", m_progress.heldFor.count())
        .add("first_event_ms", m_progress.firstEvent.count())
        .add("longest_pause_ms", m_progress.longestPause.count())
        .add("events", m_events.count())
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
        m_context.log.routine(Logging::LogEvent::Request, fields);
    } else {
        m_context.log.info(Logging::LogEvent::Request, fields);
    }
}

} // namespace Carawaykeel::Ingress
