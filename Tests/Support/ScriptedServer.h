#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

/// A request that a scripted server has received.
struct ReceivedRequest
{
    std::string head;
    std::string body;

    /// Returns the value of a header field, or an empty string if the field is absent.
    std::string field(const std::string &name) const;
};

/// The bytes that a scripted server sends for a request, and what it does afterwards.
struct ScriptedResponse
{
    enum class Then {
        Keep,
        Close,
        /// Closes the connection with a TCP reset.
        Reset,
        /// Sends nothing more and waits until the peer closes the connection.
        Hang,
        /// Sends `floodBytes` repeatedly until the peer closes the connection.
        Flood,
        /// Stops listening, then resets the connection. Later connections are refused.
        Crash,
        /// Closes the sending side only, and reads no more.
        HalfClose,
        /// As HalfClose, then resets the connection.
        HalfCloseThenReset,
    };

    std::string bytes;
    Then then = Then::Keep;
    std::string floodBytes = {};
    /// Time between the bytes and what follows them.
    std::chrono::milliseconds pause{0};
};

/// A backend server on a loopback socket whose responses are determined by a script.
class ScriptedServer
{
public:
    /// `number` is 1 for the first request that the server receives.
    using Script = std::function<ScriptedResponse(const ReceivedRequest &request, int number)>;

    /// How much of a request the server reads before it responds.
    enum class Reading { WholeRequest, HeadOnly };

    explicit ScriptedServer(Script script, Reading reading = Reading::WholeRequest);
    ~ScriptedServer();

    std::string address() const { return m_address; }
    bool hasCrashed() const { return m_hasCrashed; }
    std::vector<ReceivedRequest> requests() const;
    /// Returns the number of connections that the peer closed during Then::Hang, or that failed.
    int peerCloseCount() const { return m_peerCloseCount; }

private:
    void accept();
    void serve(Poco::Net::StreamSocket connection);
    bool receive(Poco::Net::StreamSocket &connection, std::string &buf, ReceivedRequest &request);
    void endConnection(Poco::Net::StreamSocket &connection, const ScriptedResponse &response);

    const Script m_script;
    const Reading m_reading;
    Poco::Net::ServerSocket m_socket;
    const std::string m_address;
    mutable std::mutex m_mutex;
    std::vector<ReceivedRequest> m_requests;
    std::vector<std::thread> m_connectionThreads;
    std::atomic<int> m_peerCloseCount = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isCrashing = false;
    /// The socket is closed.
    std::atomic<bool> m_hasCrashed = false;
    std::thread m_thread;
};

} // namespace Carawaykeel::Tests
