#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Budget/TokenBudget.h>
#include <Carawaykeel/Forwarding/EventSplitter.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/RequestHandler.h>
#include <Carawaykeel/Ingress/ResponseHandler.h>
#include <Carawaykeel/Ingress/ServerConnection.h>
#include <Carawaykeel/Ingress/StreamProgress.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Carawaykeel::Ingress {

/// One request of a caller, from the moment it was read until its answer has ended: sets tokens
/// aside, sends it to a server, passes the answer on, and goes on at another server where the route
/// allows it.
class Exchange : public ActiveRequest,
                 public ResponseHandler,
                 public std::enable_shared_from_this<Exchange>
{
public:
    /// When a caller should come back that was refused for want of a server.
    static constexpr Base::Milliseconds NoServerRetryAfter{300};

    Exchange(
        ExchangeContext &context, Http::RequestHead head, std::string body, ResponseWriter &caller);
    ~Exchange() override;

    /// Begins. Call once, after the exchange is held by a shared pointer.
    void start();

    void onCallerDisconnected() override;
    void onCallerWritable() override;

    void onResponseHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &terms) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseComplete() override;
    void onResponseFailed(Forwarding::AttemptOutcome end) override;

private:
    /// What a server has answered so far in the present attempt.
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
    /// Null once the caller has gone or has its answer.
    ResponseWriter *m_caller;
    const Base::Milliseconds m_startedAt;
    /// How long after the start the caller gives up or the route's timeout is reached.
    Base::Milliseconds m_allowed;
    Forwarding::RequestMetadata m_terms;
    Forwarding::Route m_route;
    Base::TeamId m_team;
    std::optional<int> m_priority;
    Base::ServiceName m_service;
    int m_tokensPerEvent = 0;
    std::optional<Budget::TokenHold> m_hold;
    /// What the request has used of its team's tokens.
    Base::Tokens m_used;

    std::shared_ptr<ServerConnection> m_connection;
    Base::ServerName m_server;
    /// Prompt tokens that the server has yet to read before it answers.
    Base::Tokens m_unread;
    std::set<Base::ServerName> m_tried;
    int m_attemptsSent = 0;
    /// Number of the present watch for silence, so that the timer of an earlier one does nothing.
    std::uint64_t m_watch = 0;
    /// What was thought of the server when it was chosen: prompt tokens to be read before this
    /// request's, and the age of its last report.
    std::int64_t m_tokensAhead = 0;
    Base::Milliseconds m_loadAge;
    Base::Milliseconds m_lastProgress;
    StreamProgress m_progress;
    Answer m_answer;
    /// Joins the events of all attempts.
    Forwarding::EventSplitter m_events;
    /// Part of a stream has gone to the caller, by this attempt or an earlier one.
    bool m_hasStreamBegun = false;
    /// A server may have worked on the request, so that its prompt counts as read.
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    /// Why the request failed, for the log.
    std::string m_reason;
};

} // namespace Carawaykeel::Ingress
