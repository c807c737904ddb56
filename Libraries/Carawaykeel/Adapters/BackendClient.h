#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Adapters/HeaderField.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Budget/AttemptLookup.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <chrono>
#include <istream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Carawaykeel::Adapters {

/// One request to one backend server.
struct BackendRequest
{
    std::string address;
    std::string method;
    std::string path;
    std::vector<HeaderField> fields;
    std::string body;
    Base::AttemptId attempt;
    /// False for a request that must not be repeated: it gets a connection of its own.
    bool canReuseConnection = true;
};

class BackendClient;

/// An exchange whose answer has begun. Unless finish is called the connection is closed and never
/// used again.
class BackendExchange
{
public:
    BackendExchange(BackendClient &client, std::string address,
        std::unique_ptr<Poco::Net::HTTPClientSession> session);

    /// Reads the head of the answer. Fails with ServerBroke, ServerTimeout or AnswerCrossed.
    Base::Result<void> tryReadHead(const Base::AttemptId &attempt);

    int status() const { return static_cast<int>(m_response.getStatus()); }
    const Poco::Net::HTTPResponse &response() const { return m_response; }
    std::istream &body() { return *m_body; }

    /// Reads the whole body. Fails with AnswerIncomplete when it is short, never ends or is longer
    /// than the limit.
    Base::Result<std::string> tryReadResponseBody(std::size_t limit);

    /// The whole answer was read, so the connection may carry another exchange.
    void finish();

private:
    bool isBodyComplete(std::size_t length);

    BackendClient &m_client;
    const std::string m_address;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    Poco::Net::HTTPResponse m_response;
    std::istream *m_body = nullptr;
};

/// Connections to backend servers over HTTP. One carries one exchange at a time.
class BackendClient
{
public:
    explicit BackendClient(const LimitSettings &limits);

    /// Sends a request and reads the head of the answer. Fails with ServerRefused when no byte of
    /// it can have reached the server, else with ServerBroke, ServerTimeout or AnswerCrossed.
    Base::Result<std::unique_ptr<BackendExchange>> trySend(const BackendRequest &backendRequest);

    /// Asks a server what became of an attempt, and ends it there.
    Budget::AttemptLookupResult endAttempt(
        const std::string &address, const Base::AttemptId &attempt);

    /// Takes a connection back whose exchange is over.
    void releaseConnection(
        const std::string &address, std::unique_ptr<Poco::Net::HTTPClientSession> session);

private:
    struct IdleConnection
    {
        std::unique_ptr<Poco::Net::HTTPClientSession> session;
        std::chrono::steady_clock::time_point idleSince;
    };

    std::unique_ptr<Poco::Net::HTTPClientSession> takeIdleConnection(const std::string &address);
    Base::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> tryConnect(
        const std::string &address);

    const LimitSettings m_limits;
    std::mutex m_mutex;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace Carawaykeel::Adapters
