#pragma once

#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Net/BufferedSocket.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Carawaykeel::Transport {

/// A complete reply.
struct HttpReply
{
    int status = 0;
    std::string body;
};

/// A call to an HTTP service.
struct HttpCall
{
    std::string method;
    std::string pathAndQuery;
    /// Sent as JSON; empty for calls without a body.
    std::string body;
    /// The call fails when nothing was received for this long, also while it connects.
    Base::Milliseconds inactivityTimeout;
};

/// Makes calls to one address, one after the other over one connection, which is reused as long as
/// every reply is complete and in time. Used on the reactor's thread.
class HttpClient : public Net::SocketHandler
{
public:
    /// Receives the reply, or nothing if no complete reply arrived; the call may then still have
    /// taken effect.
    using Callback = std::function<void(std::optional<HttpReply>)>;

    /// Maximum calls that wait for the connection; further ones fail.
    static constexpr std::size_t MaxQueuedCalls = 64;
    /// Maximum length of a reply's body.
    static constexpr std::size_t MaxBodyBytes = 16 * 1'024 * 1'024;
    /// Maximum time of one call, however steadily its reply arrives.
    static constexpr Base::Milliseconds MaxCallTime{10'000};

    /// `address` is an IP number and a port. The reactor must outlive the client.
    HttpClient(Net::Reactor &reactor, std::string address);
    ~HttpClient() override;

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Queues a call. Its callback is called exactly once, after this call has returned, and never
    /// after the client's end.
    void call(HttpCall call, Callback callback);

    void onReady(Net::Readiness readiness) override;
    void onFailure() override;

private:
    struct PendingCall
    {
        HttpCall call;
        Callback callback;
    };

    void startNext();
    bool connect();
    void sendCurrent();
    void readAvailable();
    void parse();
    bool parseHead();
    bool parseBody();
    void finish(std::optional<HttpReply> reply);
    void closeConnection();
    void scheduleTimeoutCheck(Base::Milliseconds delay);
    void checkTimeout(std::uint64_t callNumber);

    Net::Reactor &m_reactor;
    const std::string m_address;
    /// Ends with the client, so that scheduled tasks can notice that it is gone.
    const std::shared_ptr<char> m_lifetime;
    std::deque<PendingCall> m_queue;
    std::optional<PendingCall> m_current;
    std::uint64_t m_callNumber = 0;
    Base::Milliseconds m_startedAt;
    Base::Milliseconds m_activeAt;
    std::unique_ptr<Net::BufferedSocket> m_socket;
    bool m_isConnecting = false;
    bool m_closesAfterReply = false;
    std::string m_received;
    std::optional<Http::BodyDecoder> m_bodyDecoder;
    HttpReply m_reply;
};

} // namespace Carawaykeel::Transport
