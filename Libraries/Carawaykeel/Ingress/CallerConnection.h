#pragma once

#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/RequestHandler.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Carawaykeel::Ingress {

/// A caller's connection. Reads requests one after the other and sends the responses in order.
class CallerConnection : public Net::SocketHandler,
                         public ResponseWriter,
                         public BufferOwner,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    using LimitsProvider = std::function<Forwarding::CallerLimits()>;

    CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
        RequestHandler &handler, LimitsProvider limitsProvider, BufferAccount &buffers,
        std::function<void(CallerConnection &)> onClosed);

    /// Starts reading. Call once, after a shared pointer owns the connection.
    void start();

    /// Closes the connection at once if no request is in flight, otherwise after its response.
    void closeWhenIdle();

    /// True while a request is being read or handled.
    bool isBusy() const { return m_state == State::Handling || !m_received.empty() || m_head; }

    /// True while a part of a response has not been taken by the caller's connection.
    bool hasUnsentBytes() const { return m_socket.unsentBytes() > 0; }

    void onReady(Net::Readiness readiness) override;
    void onFailure() override;
    void onBufferReclaimed(BufferKind kind) override;

    void sendResponse(Poco::Net::HTTPResponse &head, std::string_view body) override;
    void beginStream(Poco::Net::HTTPResponse &head) override;
    void sendStream(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    bool isCongested() const override;

private:
    enum class State { Reading, Handling, Lingering, Closed };

    void updateBuffers();
    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void dispatch();
    void reject(Base::ErrorKind kind);
    void sendHead(Poco::Net::HTTPResponse &head);
    void send(std::string_view bytes);
    void finishResponse();
    void awaitRequest();
    void onReadTimeout(std::uint64_t timerGeneration, bool isIdle);
    void closeIfIdle();
    void linger();
    void scheduleLingerCheck();
    void checkLinger();
    void close(bool isAborted);
    void onDisconnected();

    Net::Reactor &m_reactor;
    Net::BufferedSocket m_socket;
    RequestHandler &m_handler;
    LimitsProvider m_limitsProvider;
    BufferAccount &m_buffers;
    HeldBuffer m_requestBuffer;
    HeldBuffer m_unsentBuffer;
    std::function<void(CallerConnection &)> m_onClosed;
    State m_state = State::Reading;
    std::string m_received;
    Http::RequestHead m_head;
    std::optional<Http::BodyDecoder> m_bodyDecoder;
    std::string m_body;
    std::shared_ptr<ActiveRequest> m_request;
    bool m_isStreamChunked = false;
    bool m_closesAfterResponse = false;
    bool m_isCongested = false;
    /// Unsent bytes at the last check of a lingering connection, and when they last became fewer.
    std::size_t m_unsentBytes = 0;
    Base::Milliseconds m_progressAt;
    /// Incremented for each request, so that timers of earlier requests have no effect.
    std::uint64_t m_timerGeneration = 0;
};

} // namespace Carawaykeel::Ingress
