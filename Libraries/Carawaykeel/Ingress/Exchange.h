#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Budget/TokenBudget.h>
#include <Carawaykeel/Forwarding/EventSplitter.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Ingress/ResponseHandler.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/RequestHandler.h>
#include <Carawaykeel/Ingress/ServerConnection.h>
#include <Carawaykeel/Ingress/StreamProgress.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Carawaykeel::Ingress {

/// One request of a caller, from when it was read until its response has ended. Holds tokens, sends
/// the request to a server, forwards the response, and retries at another server where the route
/// allows it.
class Exchange : public ActiveRequest,
                 public ResponseHandler,
                 public std::enable_shared_from_this<Exchange>
{
public:
    /// Retry-After of requests that fail because no server is available or all attempts failed.
    static constexpr Base::Milliseconds NoServerRetryAfter{300};

    Exchange(ExchangeContext &context, Http::RequestHead head, std::string body, ResponseWriter &caller);
    ~Exchange() override;

    /// Call once, after a shared pointer owns the exchange.
    void start();

    void onCallerDisconnected() override;
    void onCallerWritable() override;

    void onResponseHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &terms) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseComplete() override;
    void onResponseFailed(Forwarding::AttemptOutcome end) override;

private:
    /// What the server has sent so far in the current attempt.
    struct Answer
    {
        std::unique_ptr<Poco::Net::HTTPResponse> head;
        Forwarding::ResponseMetadata terms;
        std::string body;
    };

    Base::Result<void> tryAdmit();
    bool isStream() const { return m_route.kind == Forwarding::RouteKind::Stream; }
    bool isSuccess() const;
    void holdTokens();
    void send();
    std::string encode(const Forwarding::KnownServer &server);
    void startTimers();
    void watchSilence();
    void onTimeout();
    void noteRead();
    void endAttempt(bool hasFailed);
    void abandonAttempt();
    void giveUpAttempt(Forwarding::AttemptOutcome end);
    void afterAttempt(Forwarding::AttemptOutcome end);
    void passEvents(std::string_view bytes);
    void beginStream();
    void passAnswerOn();
    void fail(const Base::Failure &failure);
    void finish(std::string_view outcome);
    void logRequest(std::string_view outcome);
    void settle();
    Base::Milliseconds elapsed() const;
    Base::Milliseconds timeLeft() const;

    ExchangeContext &m_context;
    const std::shared_ptr<const Forwarding::RouterConfiguration> m_configuration;
    Http::RequestHead m_head;
    const std::string m_body;
    /// Null after the caller has disconnected or the response has ended.
    ResponseWriter *m_caller;
    const Base::Milliseconds m_startedAt;
    /// Timeout from the start of the request: the route's, or the caller's if that is shorter.
    Base::Milliseconds m_allowed;
    Forwarding::RequestMetadata m_terms;
    Forwarding::Route m_route;
    Base::TeamId m_team;
    std::optional<int> m_priority;
    Base::ServiceName m_service;
    int m_tokensPerEvent = 0;
    std::optional<Budget::TokenHold> m_hold;
    /// Tokens of the team that the request has used.
    Base::Tokens m_used;

    std::shared_ptr<ServerConnection> m_connection;
    Base::ServerName m_server;
    /// Prompt tokens that the server has still to process before it responds.
    Base::Tokens m_unread;
    std::set<Base::ServerName> m_tried;
    int m_attemptsSent = 0;
    /// Number of the current inactivity timer, so that earlier timers have no effect.
    std::uint64_t m_watch = 0;
    /// State of the server when it was selected: estimated prompt tokens to be processed before
    /// this request's, and the age of the last load report.
    std::int64_t m_tokensAhead = 0;
    Base::Milliseconds m_loadAge;
    Base::Milliseconds m_lastProgress;
    StreamProgress m_progress;
    Answer m_answer;
    /// Joins the events of all attempts into one stream.
    Forwarding::EventSplitter m_events;
    /// Part of a stream was sent to the caller, in this attempt or an earlier one.
    bool m_hasStreamBegun = false;
    /// A server may have executed the request, so its prompt tokens count as used.
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    /// Why the request failed, for the log.
    std::string m_reason;
};

} // namespace Carawaykeel::Ingress
