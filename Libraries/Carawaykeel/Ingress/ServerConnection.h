#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Ingress/ResponseHandler.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// A connection to a backend server: one exchange at a time, reused only while nothing that came is
/// in doubt.
class ServerConnection : public Net::SocketHandler,
                         public std::enable_shared_from_this<ServerConnection>
{
public:
    /// How long a connection may take to be made.
    static constexpr Base::Milliseconds ConnectTimeout{600};

    ServerConnection(
        Net::Reactor &reactor, const Forwarding::Dialect &dialect, std::string address);

    /// Begins to connect. Answers false when that failed at once.
    bool connect();

    /// Sends a request. The sink is borrowed until the answer has ended, failed or was abandoned.
    void sendRequest(const std::string &method, const std::string &requestId,
        std::string_view bytes, ResponseHandler &sink);

    /// The answer is not wanted any more: the server is told by the end of the connection.
    void cancel();

    /// Holds the server back, or lets it go on.
    void setReading(bool isReading);

    /// Closes a connection without an exchange.
    void close();

    /// True when another request may be sent, as far as is known here.
    bool isReusable(Base::Milliseconds now) const;

    const std::string &address() const { return m_address; }

    void onReady(Net::Readiness readiness) override;

private:
    enum class State { Connecting, Idle, Busy, Closed };

    void onConnected();
    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void finishAnswer();
    void fail(Forwarding::AttemptOutcome end);
    void onEnd(bool isOrderly);

    Net::Reactor &m_reactor;
    const Forwarding::Dialect &m_dialect;
    const std::string m_address;
    std::unique_ptr<Net::BufferedSocket> m_socket;
    State m_state = State::Connecting;
    ResponseHandler *m_sink = nullptr;
    std::string m_method;
    std::string m_requestId;
    std::string m_toSend;
    std::string m_in;
    std::optional<Http::BodyDecoder> m_body;
    /// The answer that is read belongs to an earlier request.
    bool m_isForeign = false;
    bool m_closesAfterAnswer = false;
    Base::Milliseconds m_idleTimeout;
    Base::Milliseconds m_idleSince;
};

} // namespace Carawaykeel::Ingress
