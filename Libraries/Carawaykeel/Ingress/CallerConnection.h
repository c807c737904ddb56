#pragma once

#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/CallerPolicy.h>
#include <Carawaykeel/Ingress/RequestHandler.h>
#include <Carawaykeel/Ingress/RequestReader.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Ingress {

/// A caller's connection. Reads requests one after the other and sends the responses in order.
/// The next request is read only after the response before it was taken.
class CallerConnection : public Net::SocketHandler,
                         public ResponseWriter,
                         public BufferOwner,
                         public std::enable_shared_from_this<CallerConnection>
{
public:
    using LimitsProvider = std::function<Forwarding::CallerLimits()>;

    CallerConnection(Net::Reactor &reactor, const Poco::Net::StreamSocket &socket,
        RequestHandler &handler, LimitsProvider limitsProvider, BufferAccount &buffers,
        const CallerPolicy &policy, std::function<void(CallerConnection &)> onClosed);

    /// Starts reading. Call once, after a shared pointer owns the connection.
    void start();

    /// Closes the connection at once if no request is in flight, otherwise after its response.
    void closeWhenIdle();

    /// Ends what has lasted too long. Call several times a second.
    void checkTimes();

    /// True while a request is being read or handled.
    bool isBusy() const { return m_state == State::Handling || !m_reader.isEmpty(); }

    /// True while a part of a response has not been taken by the caller's connection.
    bool hasUnsentBytes() const { return m_socket.unsentBytes() > 0; }

    /// True if closing the connection ends no request that is handled and cuts no response that the
    /// caller is taking.
    bool isEvictable() const;
    /// Closes the connection for another one.
    void evict();
    /// When the connection began to wait for a request or for its end.
    Base::Milliseconds waitingSince() const { return m_waitingSince; }
    /// The caller's address without port.
    const std::string &peer() const { return m_peer; }

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

    void update();
    void onFlushed();
    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void dispatch();
    void dispatchWithoutBody();
    void beginHandling();
    void reject(Base::ErrorKind kind);
    void recordRefusal(RefusalKind kind);
    void sendHead(Poco::Net::HTTPResponse &head);
    void send(std::string_view bytes);
    void finishResponse();
    void closeIfIdle();
    void linger();
    void discardAvailable();
    void checkLinger(Base::Milliseconds now);
    void checkCongestion(Base::Milliseconds now);
    void close(bool isAborted);
    void onDisconnected();

    Net::Reactor &m_reactor;
    Net::BufferedSocket m_socket;
    const std::string m_peer;
    RequestHandler &m_handler;
    LimitsProvider m_limitsProvider;
    const CallerPolicy &m_policy;
    BufferAccount &m_buffers;
    RequestReader m_reader;
    HeldBuffer m_unsentBuffer;
    std::function<void(CallerConnection &)> m_onClosed;
    State m_state = State::Reading;
    std::shared_ptr<ActiveRequest> m_request;
    bool m_isStreamChunked = false;
    bool m_closesAfterResponse = false;
    bool m_isCongested = false;
    /// When the congestion began, or when the server was last read in spite of it.
    Base::Milliseconds m_congestedSince;
    Base::Milliseconds m_waitingSince;
    /// Unsent bytes when the caller last took some, and when that was.
    std::size_t m_unsentBytes = 0;
    Base::Milliseconds m_takenAt;
    /// Bytes that arrived after the last response, and when the last of them arrived.
    std::size_t m_discardedBytes = 0;
    Base::Milliseconds m_discardedAt;
};

} // namespace Carawaykeel::Ingress
