#include <Carawaykeel/Adapters/BackendClient.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

/// Closes idle connections before the server's idle timeout can race with a new request.
constexpr std::chrono::seconds MaxIdleTime{3};
constexpr std::size_t MaxIdlePerServer = 64;
constexpr std::size_t MaxAttemptResponseSize = 4'096;
const std::string AttemptIdField = "X-Attempt-Id";

Base::ErrorKind errorKindOf(const Poco::Exception &ex)
{
    const bool isTimeout = dynamic_cast<const Poco::TimeoutException *>(&ex) != nullptr;
    return isTimeout ? Base::ErrorKind::ServerTimeout : Base::ErrorKind::ServerFailed;
}

} // namespace

BackendExchange::BackendExchange(
    BackendClient &client, std::string address, std::unique_ptr<ClientConnection> connection)
    : m_client(client)
    , m_address(std::move(address))
    , m_connection(std::move(connection))
{
}

Base::Result<void> BackendExchange::tryReadHead(const Base::AttemptId &attempt)
{
    try {
        m_head = m_connection->readHead();
    } catch (const Poco::Exception &ex) {
        return Base::fail(errorKindOf(ex), "the server gave no answer: " + ex.displayText());
    }
    const auto &echo = response().get(AttemptIdField, attempt.text());
    if (echo != attempt.text())
        return Base::fail(Base::ErrorKind::ResponseMismatch, "the server answered another request");
    return {};
}

Base::Result<std::string> BackendExchange::tryReadResponseBody(std::size_t limit)
{
    constexpr std::size_t ChunkSize = 16'384;
    std::string content;
    std::array<char, ChunkSize> buf;
    while (body().read(buf.data(), buf.size()) || body().gcount() > 0) {
        content.append(buf.data(), static_cast<std::size_t>(body().gcount()));
        if (content.size() > limit) {
            return Base::fail(
                Base::ErrorKind::ResponseIncomplete, "the answer is longer than the limit");
        }
    }
    if (!m_connection->hasBodyLength())
        return Base::fail(Base::ErrorKind::ResponseIncomplete, "the answer has no length");
    if (!m_connection->isBodyComplete())
        return Base::fail(Base::ErrorKind::ResponseIncomplete, "the answer broke off");
    return content;
}

void BackendExchange::finish()
{
    if (m_connection->isReusable())
        m_client.releaseConnection(m_address, std::move(m_connection));
}

BackendClient::BackendClient(const LimitSettings &limits)
    : m_limits(limits)
{
}

std::unique_ptr<ClientConnection> BackendClient::takeIdleConnection(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate.connection->isReusable() && now - candidate.idleSince < MaxIdleTime)
            return std::move(candidate.connection);
    }
    return nullptr;
}

void BackendClient::releaseConnection(
    const std::string &address, std::unique_ptr<ClientConnection> connection)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < MaxIdlePerServer)
        idle.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

Base::Result<std::unique_ptr<ClientConnection>> BackendClient::tryConnect(
    const std::string &address)
{
    try {
        return std::make_unique<ClientConnection>(
            address, m_limits.connectTimeout, m_limits.backendTimeout);
    } catch (const Poco::Exception &ex) {
        return Base::fail(
            Base::ErrorKind::ServerRefused, "the server cannot be reached: " + ex.displayText());
    }
}

Base::Result<std::unique_ptr<BackendExchange>> BackendClient::trySend(
    const BackendRequest &backendRequest)
{
    auto connection =
        backendRequest.canReuseConnection ? takeIdleConnection(backendRequest.address) : nullptr;
    if (!connection) {
        BOOST_LEAF_AUTO(fresh, tryConnect(backendRequest.address));
        connection = std::move(fresh);
    }
    Poco::Net::HTTPRequest request(
        backendRequest.method, backendRequest.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &field : backendRequest.fields)
        request.set(field.name, field.value);
    request.set(AttemptIdField, backendRequest.attempt.text());
    connection->sendRequest(request, backendRequest.body);
    auto exchange =
        std::make_unique<BackendExchange>(*this, backendRequest.address, std::move(connection));
    BOOST_LEAF_CHECK(exchange->tryReadHead(backendRequest.attempt));
    return exchange;
}

Budget::AttemptLookupResult BackendClient::cancelAttempt(
    const std::string &address, const Base::AttemptId &attempt)
{
    std::string path;
    Poco::URI::encode(attempt.text(), "/:", path);
    const BackendRequest backendRequest{
        address, "DELETE", "/v1/attempts/" + path, {}, "", attempt, true};
    auto outcome = Base::toOutcome<Budget::AttemptLookupResult>(
        [&]() -> Base::Result<Budget::AttemptLookupResult> {
            BOOST_LEAF_AUTO(exchange, trySend(backendRequest));
            BOOST_LEAF_AUTO(body, exchange->tryReadResponseBody(MaxAttemptResponseSize));
            exchange->finish();
            Budget::AttemptLookupResult result;
            try {
                Poco::JSON::Parser parser;
                const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
                const auto state = object->optValue<std::string>("state", "");
                if (state == "never_seen")
                    result.status = Budget::AttemptStatus::NeverSeen;
                if (state == "finished")
                    result.status = Budget::AttemptStatus::Finished;
                result.tokens = Base::Tokens(object->optValue<Poco::Int64>("tokens", 0));
            } catch (const Poco::Exception &) {
                result = {};
            }
            return result;
        });
    const auto *result = std::get_if<Budget::AttemptLookupResult>(&outcome);
    return result ? *result : Budget::AttemptLookupResult();
}

} // namespace Carawaykeel::Adapters
