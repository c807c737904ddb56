// The part of Exchange that measures how long servers take.
#include <Carawaykeel/Ingress/Exchange.h>

#include <algorithm>
#include <cmath>

namespace Carawaykeel::Ingress {

Forwarding::ServerSelectionHint Exchange::selectionHint() const
{
    return {m_service, m_requestMetadata.promptParts, m_triedServers,
        m_requestMetadata.expectedResponseTokens, memoryTokens()};
}

Base::Tokens Exchange::memoryTokens() const
{
    Base::Tokens prompt;
    for (const auto &part : m_requestMetadata.promptParts)
        prompt += part.tokens;
    const auto response =
        m_requestMetadata.expectedResponseTokens.value_or(m_requestMetadata.maxResponseTokens);
    return std::max(prompt, m_requestMetadata.promptTokens) + response;
}

void Exchange::beginMeasurement(
    const Forwarding::KnownServer &server, const Forwarding::ServerSelectionHint &hint)
{
    const auto now = m_context.reactor.now();
    m_attempt = Attempt();
    m_attempt.sentAt = now;
    m_attempt.requestsAhead = m_context.serverPool.estimatedRequestsAt(server, now);
    if (!hint.prompt.empty()) {
        const auto uncached = server.promptCache.countUncachedTokens(hint.prompt, now);
        m_attempt.promptTokens = static_cast<double>(m_tokensAhead + uncached.count() + 1);
    }
    m_attempt.memoryTokens = hint.memoryTokens;
    m_context.serverPool.onMemoryUsed(m_server, hint.memoryTokens);
    m_attempt.earlierEvents = m_events.eventCount();
    m_attempt.expectedTime = m_context.serverPool.expectedTime(server, hint, now);
    m_attempt.requestTime = server.speed.requestTime();
    m_attempt.promptTokenTime = server.speed.promptTokenTime();
}

void Exchange::reportMeasurement()
{
    if (m_attempt.wasThrottled)
        return;
    const auto now = m_context.reactor.now();
    if (m_attempt.expectedTime) {
        m_context.expectedTimeTotal += *m_attempt.expectedTime;
        m_context.measuredTimeTotal += now - m_attempt.sentAt;
    }
    const auto events = static_cast<double>(m_events.eventCount() - m_attempt.earlierEvents);
    m_context.serverPool.onServed(m_server,
        {m_attempt.firstPartAt.value_or(now) - m_attempt.sentAt, now - m_attempt.sentAt,
            m_attempt.requestsAhead, m_attempt.promptTokens, events * m_tokensPerEvent});
}

void Exchange::logMeasurement(Logging::LogFields &fields) const
{
    if (!m_attempt.expectedTime)
        return;
    constexpr double MicrosecondsPerMillisecond = 1'000;
    fields.add("expected_ms", std::lround(*m_attempt.expectedTime))
        .add("learned_request_ms", std::lround(m_attempt.requestTime.value_or(0)))
        .add("learned_token_us",
            std::lround(m_attempt.promptTokenTime.value_or(0) * MicrosecondsPerMillisecond));
}

} // namespace Carawaykeel::Ingress
