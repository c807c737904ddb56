#pragma once

#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Ingress/RequestHandler.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Carawaykeel::Ingress {

/// A caller's connection: reads one request after the other and sends their answers in order.
class CallerConnection : public Net::SocketHandler,
                         public ResponseWriter,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    using LimitsSource = std::function<Forwarding::CallerLimits()>;

    CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
        RequestHandler &handler, LimitsSource limits,
        std::function<void(CallerConnection &)> whenClosed);

    /// Begins to read. Call once, after the connection is held by a shared pointer.
    void start();

    /// Closes a connection on which no request is under way; others close after their answer.
    void closeWhenIdle();

    /// True while a request is read or answered.
    bool isBusy() const { return m_state == State::Answering || !m_in.empty() || m_head; }

    void onReady(Net::Readiness readiness) override;

    void sendResponse(Poco::Net::HTTPResponse &head, std::string_view body) override;
    void beginStream(Poco::Net::HTTPResponse &head) override;
    void sendStream(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    bool isCongested() const override;

private:
    enum class State { Reading, Answering, Lingering, Closed };

    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void dispatch();
    void reject(Base::ErrorKind kind);
    void sendHead(Poco::Net::HTTPResponse &head);
    void send(std::string_view bytes);
    void finishAnswer();
    void awaitRequest();
    void expire(std::uint64_t ticket, bool isIdle);
    void linger();
    void close(bool abort);
    void onCallerEnd();

    Net::Reactor &m_reactor;
    Net::BufferedSocket m_socket;
    RequestHandler &m_handler;
    LimitsSource m_limits;
    std::function<void(CallerConnection &)> m_whenClosed;
    State m_state = State::Reading;
    std::string m_in;
    Http::RequestHead m_head;
    std::optional<Http::BodyDecoder> m_bodyDecoder;
    std::string m_body;
    std::shared_ptr<ActiveRequest> m_request;
    bool m_isStreamChunked = false;
    bool m_closesAfterAnswer = false;
    bool m_isCongested = false;
    /// Grows with each request, so that a timer knows whether it is still meant.
    std::uint64_t m_ticket = 0;
};

} // namespace Carawaykeel::Ingress
