#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

/// One request as a scripted server received it.
struct ReceivedRequest
{
    std::string head;
    std::string body;

    /// The value of a field, or an empty text.
    std::string field(const std::string &name) const;
};

/// What a scripted server does with a request.
struct ScriptedResponse
{
    enum class Then {
        Keep,
        Close,
        Reset,
        Hang,
        /// Sends the filling again and again until the other side closes.
        Flood,
    };

    std::string bytes;
    Then then = Then::Keep;
    std::string filling = {};
};

/// A backend server on a loopback port that answers by a script, with real sockets.
class ScriptedServer
{
public:
    using Script = std::function<ScriptedResponse(const ReceivedRequest &request, int number)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    std::string address() const { return m_socket.address().toString(); }
    std::vector<ReceivedRequest> requests() const;
    /// Connections that the other side ended while a reply hung.
    int peerCloseCount() const { return m_peerCloseCount; }

private:
    void accept();
    void serve(Poco::Net::StreamSocket connection);
    bool receive(Poco::Net::StreamSocket &connection, std::string &buf, ReceivedRequest &request);

    const Script m_script;
    Poco::Net::ServerSocket m_socket;
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<std::thread> m_connections;
    std::atomic<int> m_peerCloseCount = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Carawaykeel::Tests
