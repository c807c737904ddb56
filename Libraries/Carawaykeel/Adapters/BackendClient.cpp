#include <Carawaykeel/Adapters/BackendClient.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr int MicrosecondsPerMillisecond = 1'000;
/// Closes idle connections before the server's idle timeout can race with a new request.
constexpr std::chrono::seconds MaxIdleTime{3};
constexpr std::size_t MaxIdlePerServer = 64;
constexpr std::size_t MaxAttemptResponseSize = 4'096;
const std::string AttemptIdField = "X-Attempt-Id";

Poco::Timespan toTimespan(Base::Milliseconds time)
{
    return {time.count() * MicrosecondsPerMillisecond};
}

/// Connects in a separate step before sending, so that after a failed connect it is certain that
/// the server received no bytes.
class BackendSession : public Poco::Net::HTTPClientSession
{
public:
    void open(const std::string &address, const LimitSettings &limits)
    {
        const Poco::Net::SocketAddress peer(address);
        setHost(peer.host().toString());
        setPort(peer.port());
        setKeepAlive(true);
        setTimeout(toTimespan(limits.connectTimeout), toTimespan(limits.backendTimeout),
            toTimespan(limits.backendTimeout));
        connect(peer);
    }
};

Base::ErrorKind errorKindOf(const Poco::Exception &ex)
{
    const bool isTimeout = dynamic_cast<const Poco::TimeoutException *>(&ex) != nullptr;
    return isTimeout ? Base::ErrorKind::ServerTimeout : Base::ErrorKind::ServerFailed;
}

} // namespace

BackendExchange::BackendExchange(BackendClient &client, std::string address,
    std::unique_ptr<Poco::Net::HTTPClientSession> session)
    : m_client(client)
    , m_address(std::move(address))
    , m_session(std::move(session))
{
}

Base::Result<void> BackendExchange::tryReadHead(const Base::AttemptId &attempt)
{
    try {
        m_body = &m_session->receiveResponse(m_response);
    } catch (const Poco::Exception &ex) {
        return Base::fail(errorKindOf(ex), "the server gave no answer: " + ex.displayText());
    }
    const auto &echo = m_response.get(AttemptIdField, attempt.text());
    if (echo != attempt.text())
        return Base::fail(Base::ErrorKind::ResponseMismatch, "the server answered another request");
    return {};
}

bool BackendExchange::isBodyComplete(std::size_t length)
{
    const auto status = m_response.getStatus();
    const bool hasNoBody = status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNoBody)
        return true;
    if (m_response.hasContentLength())
        return static_cast<std::size_t>(m_response.getContentLength64()) == length;
    if (!m_response.getChunkedTransferEncoding())
        return false;
    // NOTE: Poco ends the stream of a chunked body the same way after the last chunk and after a
    // lost connection. In the second case a connection that should stay open is readable, because
    // its end has been received.
    auto &socket = m_session->socket();
    return m_response.getKeepAlive()
        && !socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
}

Base::Result<std::string> BackendExchange::tryReadResponseBody(std::size_t limit)
{
    constexpr std::size_t ChunkSize = 16'384;
    std::string body;
    std::array<char, ChunkSize> buf;
    try {
        while (m_body->read(buf.data(), buf.size()) || m_body->gcount() > 0) {
            body.append(buf.data(), static_cast<std::size_t>(m_body->gcount()));
            if (body.size() > limit) {
                return Base::fail(
                    Base::ErrorKind::ResponseIncomplete, "the answer is longer than the limit");
            }
        }
        if (const auto *ex = m_session->networkException()) {
            return Base::fail(
                Base::ErrorKind::ResponseIncomplete, "the answer broke off: " + ex->displayText());
        }
        if (!isBodyComplete(body.size())) {
            return Base::fail(
                Base::ErrorKind::ResponseIncomplete, "the answer is shorter than announced");
        }
    } catch (const Poco::Exception &ex) {
        return Base::fail(
            Base::ErrorKind::ResponseIncomplete, "the answer broke off: " + ex.displayText());
    }
    return body;
}

void BackendExchange::finish()
{
    if (m_response.getKeepAlive())
        m_client.releaseConnection(m_address, std::move(m_session));
}

BackendClient::BackendClient(const LimitSettings &limits)
    : m_limits(limits)
{
}

std::unique_ptr<Poco::Net::HTTPClientSession> BackendClient::takeIdleConnection(
    const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        // An idle connection that is readable was closed by the server or holds a late response.
        const bool isUsable =
            !candidate.session->socket().poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
        if (isUsable && now - candidate.idleSince < MaxIdleTime)
            return std::move(candidate.session);
    }
    return nullptr;
}

void BackendClient::releaseConnection(
    const std::string &address, std::unique_ptr<Poco::Net::HTTPClientSession> session)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    if (idle.size() < MaxIdlePerServer)
        idle.push_back({std::move(session), std::chrono::steady_clock::now()});
}

Base::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> BackendClient::tryConnect(
    const std::string &address)
{
    try {
        auto session = std::make_unique<BackendSession>();
        session->open(address, m_limits);
        return std::unique_ptr<Poco::Net::HTTPClientSession>(std::move(session));
    } catch (const Poco::Exception &ex) {
        return Base::fail(
            Base::ErrorKind::ServerRefused, "the server cannot be reached: " + ex.displayText());
    }
}

Base::Result<std::unique_ptr<BackendExchange>> BackendClient::trySend(
    const BackendRequest &backendRequest)
{
    auto session =
        backendRequest.canReuseConnection ? takeIdleConnection(backendRequest.address) : nullptr;
    if (!session) {
        BOOST_LEAF_AUTO(fresh, tryConnect(backendRequest.address));
        session = std::move(fresh);
    }
    try {
        Poco::Net::HTTPRequest request(
            backendRequest.method, backendRequest.path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &field : backendRequest.fields)
            request.set(field.name, field.value);
        request.set(AttemptIdField, backendRequest.attempt.text());
        request.setContentLength64(static_cast<Poco::Int64>(backendRequest.body.size()));
        auto &stream = session->sendRequest(request);
        stream << backendRequest.body << std::flush;
    } catch (const Poco::Exception &ex) {
        return Base::fail(
            errorKindOf(ex), "the request could not be sent whole: " + ex.displayText());
    }
    auto exchange =
        std::make_unique<BackendExchange>(*this, backendRequest.address, std::move(session));
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
