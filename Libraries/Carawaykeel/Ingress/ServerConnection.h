#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/ResponseHandler.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// A connection to a backend server. Carries one exchange at a time, and is reused only if each
/// received byte belongs to a known response.
class ServerConnection : public Net::SocketHandler,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    /// Timeout for establishing a connection.
    static constexpr Base::Milliseconds ConnectTimeout{600};

    ServerConnection(Net::Reactor &reactor, const Forwarding::Dialect &dialect,
        BufferAccount &buffers, std::string address);

    /// Starts to connect. Returns false if that fails immediately.
    bool connect();

    /// Sends a request. `handler` must live until the response is complete, has failed or is
    /// cancelled.
    void sendRequest(const std::string &method, const std::string &requestId,
        std::string_view bytes, ResponseHandler &handler);

    /// Cancels the request in flight. Closes the connection to signal this to the server.
    void cancel();

    /// Fails the request that waits for the connection if it must not be sent any more.
    void withdrawDisallowedRequest();

    /// Pauses or resumes reading from the server.
    void setReading(bool isReading);

    /// Closes an idle connection.
    void close();

    /// True if another request can be sent. The server may have closed its side in the meantime.
    bool isReusable(Base::Milliseconds now) const;

    bool isConnecting() const { return m_state == State::Connecting; }
    const std::string &address() const { return m_address; }

    void onReady(Net::Readiness readiness) override;
    void onFailure() override;

private:
    enum class State { Connecting, Idle, Busy, Closed };

    void updateBuffer();
    void onConnected();
    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void finishResponse();
    void fail(Forwarding::AttemptOutcome outcome);
    void onDisconnected(bool isOrderly);

    Net::Reactor &m_reactor;
    const Forwarding::Dialect &m_dialect;
    const std::string m_address;
    std::unique_ptr<Net::BufferedSocket> m_socket;
    State m_state = State::Connecting;
    ResponseHandler *m_handler = nullptr;
    std::string m_method;
    std::string m_requestId;
    std::string m_pendingRequest;
    std::string m_received;
    HeldBuffer m_buffer;
    std::optional<Http::BodyDecoder> m_bodyDecoder;
    /// A response was received on this connection, so later bytes may repeat it.
    bool m_hasResponded = false;
    /// The response being read belongs to an earlier request.
    bool m_isStaleResponse = false;
    bool m_closesAfterResponse = false;
    Base::Milliseconds m_idleTimeout;
    Base::Milliseconds m_idleSince;
};

} // namespace Carawaykeel::Ingress
