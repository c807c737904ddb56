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
#include <string_view>
#include <utility>

namespace Carawaykeel::Ingress {

/// One request of a caller, from when it was read until its response has ended. Holds tokens, sends
/// the request to a server, forwards the response, and retries at another server where the route
/// allows it.
class Exchange : public ActiveRequest,
                 public ResponseHandler,
                 public BufferOwner,
                 public std::enable_shared_from_this<Exchange>
{
public:
    /// Retry-After of requests that fail because no server is available or all attempts failed.
    static constexpr Base::Milliseconds NoServerRetryAfter{300};

    Exchange(ExchangeContext &context, Http::RequestHead head, std::string body,
        ResponseWriter &responseWriter);
    ~Exchange() override;

    /// Call once, after a shared pointer owns the exchange.
    void start();

    /// Sends the failure for a request that tryAdmitHead() does not admit and whose body was not
    /// read. Call instead of start().
    void refuse();

    /// Checks what the head alone decides: the route, the key, and whether this instance takes
    /// requests. Returns the route and the team, which is null if the route needs none. `hasBody`
    /// is true for a request whose body was read.
    static Base::Result<std::pair<const Forwarding::Route *, const Forwarding::Team *>>
    tryAdmitHead(const ExchangeContext &context, const Poco::Net::HTTPRequest &head,
        const Forwarding::RequestMetadata &metadata, bool hasBody);

    void onCallerDisconnected() override;
    void onCallerWritable() override;

    void onBufferReclaimed(BufferKind kind) override;

    bool isServerAllowed() const override;
    void onResponseHead(
        const Poco::Net::HTTPResponse &head, const Forwarding::ResponseMetadata &metadata) override;
    void onResponseBody(std::string_view bytes) override;
    void onResponseComplete() override;
    void onResponseFailed(Forwarding::AttemptOutcome outcome) override;

private:
    static constexpr std::string_view ServedOutcome = "served";

    /// Data received from the server in the current attempt.
    struct Response
    {
        std::unique_ptr<Poco::Net::HTTPResponse> head;
        Forwarding::ResponseMetadata metadata;
        std::string body;
        /// The server has sent a complete event or response, so the prompt did not crash it.
        bool hasContent = false;
        /// How the response is framed; with neither it ends with its connection.
        bool hasLength = false;
        bool isChunked = false;
    };

    /// What was expected and measured of the current attempt.
    struct Attempt
    {
        Base::Milliseconds sentAt;
        /// When the first part of the response came; empty before that.
        std::optional<Base::Milliseconds> firstPartAt;
        /// Estimated number of requests at the server when this one was sent.
        double requestsAhead = 0;
        /// Estimated prompt tokens that the server processes until the first part.
        double promptTokens = 0;
        /// Tokens that the request occupies in the server's memory.
        Base::Tokens memoryTokens;
        /// Events of earlier attempts.
        std::uint64_t earlierEvents = 0;
        /// Expected milliseconds until the response is complete, for services whose servers report
        /// their work time.
        std::optional<double> expectedTime;
        /// What was learned of the server: milliseconds of a request and of a prompt token.
        std::optional<double> requestTime;
        std::optional<double> promptTokenTime;
        /// The caller took the response too slowly for the times to show the server's speed.
        bool wasThrottled = false;
    };

    Base::Result<void> tryAdmit();
    Forwarding::ServerSelectionHint selectionHint() const;
    Base::Tokens memoryTokens() const;
    void beginMeasurement(
        const Forwarding::KnownServer &server, const Forwarding::ServerSelectionHint &hint);
    void reportMeasurement();
    void logMeasurement(Logging::LogFields &fields) const;
    void checkPrompt();
    static Base::Failure quarantineFailure(Base::Milliseconds retryAfter);
    Base::Milliseconds noServerRetryAfter() const;
    void recordEvacuationRejection(const Base::Failure &failure);
    /// Returns the failure of a request that no server can get now, and counts it if servers are
    /// only held back because they are cold.
    Base::Failure noServerFailure(Base::ErrorKind kind, std::string_view reason);
    bool isStream() const { return m_route.kind == Forwarding::RouteKind::Stream; }
    bool isSuccess() const;
    bool isBrokenOff() const;
    void holdTokens();
    void sendAttempt();
    bool canMeetDeadline() const;
    Base::Failure deadlineFailure();
    std::string encode(const Forwarding::KnownServer &server);
    void startTimeout();
    void cancelTimers();
    void startInactivityTimer();
    void onTimeout();
    void markResponded();
    void markPromptProcessed();
    void endAttempt(bool hasFailed);
    void cancelAttempt();
    void failAttempt(Forwarding::AttemptOutcome outcome);
    void endFailedAttempt(Forwarding::AttemptOutcome outcome);
    void handleAttemptOutcome(Forwarding::AttemptOutcome outcome);
    void forwardEvents(std::string_view bytes);
    void beginStream();
    void abortStream(std::string_view outcome);
    void forwardResponse();
    void fail(const Base::Failure &failure);
    void finish(std::string_view outcome);
    void logRequest(std::string_view outcome);
    void settle();
    Base::Milliseconds elapsed() const;
    Base::Milliseconds remainingTime() const;

    ExchangeContext &m_context;
    const std::shared_ptr<const Forwarding::RouterConfiguration> m_configuration;
    Http::RequestHead m_head;
    const std::string m_body;
    HeldBuffer m_requestBuffer;
    HeldBuffer m_responseBuffer;
    /// Null after the caller has disconnected or the response has ended.
    ResponseWriter *m_responseWriter;
    const Base::Milliseconds m_startedAt;
    /// Timeout from the start of the request: the route's, or the caller's if that is shorter.
    Base::Milliseconds m_timeout;
    Forwarding::RequestMetadata m_requestMetadata;
    Forwarding::Route m_route;
    Base::TeamId m_team;
    std::optional<int> m_priority;
    Base::ServiceName m_service;
    int m_tokensPerEvent = 0;
    std::optional<Budget::TokenHold> m_hold;
    /// Tokens of the team that the request has used.
    Base::Tokens m_usedTokens;

    std::shared_ptr<ServerConnection> m_connection;
    Base::ServerName m_server;
    Base::DataCentre m_serverDataCentre;
    /// Prompt tokens that the server has still to process before it responds.
    Base::Tokens m_unprocessedTokens;
    std::set<Base::ServerName> m_triedServers;
    int m_sentAttempts = 0;
    Base::CancellableTimers::Key m_timeoutTimer;
    Base::CancellableTimers::Key m_inactivityTimer;
    /// Number of the current inactivity timer, so that earlier timers have no effect.
    std::uint64_t m_inactivityTimerGeneration = 0;
    /// State of the server when it was selected: estimated prompt tokens to be processed before
    /// this request's, and the age of the last load report.
    std::int64_t m_tokensAhead = 0;
    Base::Milliseconds m_loadReportAge;
    Base::Milliseconds m_lastActivityAt;
    StreamProgress m_progress;
    Attempt m_attempt;
    Response m_response;
    /// Joins the events of all attempts into one stream.
    Forwarding::EventSplitter m_events;
    /// Part of a stream was sent to the caller, in this attempt or an earlier one.
    bool m_hasStreamStarted = false;
    /// The prompt is quarantined, and the request is sent to find out whether it is sound.
    bool m_isTrial = false;
    /// A server may have executed the request, so its prompt tokens count as used.
    bool m_mayHaveRun = false;
    bool m_isFinished = false;
    /// Why the request failed, for the log.
    std::string m_failureReason;
};

} // namespace Carawaykeel::Ingress
