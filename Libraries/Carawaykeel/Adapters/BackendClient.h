#pragma once

#include <Carawaykeel/Adapters/ClientConnection.h>
#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Adapters/HeaderField.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Budget/AttemptLookup.h>

#include <Poco/Net/HTTPResponse.h>
#include <chrono>
#include <istream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Carawaykeel::Adapters {

/// A request to one backend server.
struct BackendRequest
{
    std::string address;
    std::string method;
    std::string path;
    std::vector<HeaderField> fields;
    std::string body;
    Base::AttemptId attempt;
    /// False for a request that must not be sent twice; it gets a connection of its own.
    bool canReuseConnection = true;
};

class BackendClient;

/// An exchange whose response has started. The connection is closed and not reused unless finish()
/// is called.
class BackendExchange
{
public:
    BackendExchange(
        BackendClient &client, std::string address, std::unique_ptr<ClientConnection> connection);

    /// Reads the head of the response. Fails with ServerFailed, ServerTimeout or ResponseMismatch.
    Base::Result<void> tryReadHead(const Base::AttemptId &attempt);

    int status() const { return static_cast<int>(response().getStatus()); }
    const Poco::Net::HTTPResponse &response() const { return *m_head; }
    std::istream &body() { return m_connection->body(); }
    /// True if the body that was read so far cannot be that of a response.
    bool isBodyMalformed() const { return m_connection->isBodyMalformed(); }

    /// Reads the complete body. Fails with ResponseIncomplete if the body is truncated, has no
    /// defined end or exceeds the limit.
    Base::Result<std::string> tryReadResponseBody(std::size_t limit);

    /// Returns the connection to the client for reuse, after the complete response was read. Only
    /// its head can be accessed afterwards.
    void finish();

private:
    BackendClient &m_client;
    const std::string m_address;
    std::unique_ptr<ClientConnection> m_connection;
    Http::ResponseHead m_head;
};

/// HTTP connections to backend servers. Each connection carries one exchange at a time.
class BackendClient
{
public:
    explicit BackendClient(const LimitSettings &limits);

    /// Sends a request and reads the head of the response. Fails with ServerRefused if no byte of
    /// the request can have reached the server, otherwise with ServerFailed, ServerTimeout or
    /// ResponseMismatch.
    Base::Result<std::unique_ptr<BackendExchange>> trySend(const BackendRequest &backendRequest);

    /// Cancels an attempt at a server and returns what the server knows of it.
    Budget::AttemptLookupResult cancelAttempt(
        const std::string &address, const Base::AttemptId &attempt);

    /// Keeps the connection of a finished exchange for reuse.
    void releaseConnection(
        const std::string &address, std::unique_ptr<ClientConnection> connection);

private:
    struct IdleConnection
    {
        std::unique_ptr<ClientConnection> connection;
        std::chrono::steady_clock::time_point idleSince;
    };

    std::unique_ptr<ClientConnection> takeIdleConnection(const std::string &address);
    Base::Result<std::unique_ptr<ClientConnection>> tryConnect(const std::string &address);

    const LimitSettings m_limits;
    std::mutex m_mutex;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace Carawaykeel::Adapters
