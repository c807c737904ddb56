#include <Carawaykeel/Transport/HttpClient.h>

#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Transport {

namespace {

constexpr std::size_t MaxHeadBytes = 65'536;
constexpr int FirstFinalStatus = 200;

std::string formatRequest(const HttpCall &call, const std::string &address)
{
    const auto bodyFields = call.body.empty()
        ? std::string()
        : fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}\r\n{}", call.method, call.pathAndQuery,
        address, bodyFields, call.body);
}

} // namespace

HttpClient::HttpClient(Net::Reactor &reactor, std::string address)
    : m_reactor(reactor)
    , m_address(std::move(address))
    , m_lifetime(std::make_shared<char>())
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Callback callback)
{
    if (m_queue.size() >= MaxQueuedCalls) {
        m_reactor.post([weak = std::weak_ptr(m_lifetime), callback = std::move(callback)] {
            if (!weak.expired())
                callback(std::nullopt);
        });
        return;
    }
    m_queue.push_back({std::move(call), std::move(callback)});
    m_reactor.post([this, weak = std::weak_ptr(m_lifetime)] {
        if (!weak.expired())
            startNext();
    });
}

void HttpClient::startNext()
{
    if (m_current || m_queue.empty())
        return;
    m_current = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_callNumber;
    m_startedAt = m_activeAt = m_reactor.now();
    m_reply = {};
    m_bodyDecoder.reset();
    if (!m_socket && !connect())
        return finish(std::nullopt);
    scheduleTimeoutCheck(m_current->call.inactivityTimeout);
    if (!m_isConnecting)
        sendCurrent();
}

bool HttpClient::connect()
{
    try {
        Poco::Net::StreamSocket stream;
        stream.connectNB(Poco::Net::SocketAddress(m_address));
        m_socket = std::make_unique<Net::BufferedSocket>(m_reactor, stream, *this);
        m_socket->setConnecting();
    } catch (const Poco::Exception &) {
        // Reported to the caller as a call without a reply.
        closeConnection();
        return false;
    }
    m_isConnecting = true;
    return true;
}

void HttpClient::sendCurrent()
{
    if (!m_socket->send(formatRequest(m_current->call, m_address)))
        finish(std::nullopt);
}

void HttpClient::onReady(Net::Readiness readiness)
{
    if (m_isConnecting) {
        if (!readiness.canWrite && !readiness.hasError)
            return;
        if (!m_socket->tryFinishConnecting())
            return finish(std::nullopt);
        m_isConnecting = false;
        m_activeAt = m_reactor.now();
        return sendCurrent();
    }
    if (readiness.canWrite && !m_socket->flush())
        return finish(std::nullopt);
    if (readiness.canRead || readiness.hasError)
        readAvailable();
}

void HttpClient::onFailure()
{
    if (m_current)
        return finish(std::nullopt);
    closeConnection();
}

void HttpClient::readAvailable()
{
    const auto outcome = m_socket->read(m_received);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    // Bytes without a call belong to no call, and later ones could not be matched either.
    if (!m_current)
        return closeConnection();
    if (outcome == Net::ReadOutcome::Data) {
        m_activeAt = m_reactor.now();
        return parse();
    }
    const bool isOrderly = outcome == Net::ReadOutcome::EndOfStream && m_socket->isOrderlyEnd();
    // A reply without a length that ends before its call was received may be a part of one.
    if (isOrderly && m_bodyDecoder) {
        m_bodyDecoder->onConnectionClosed();
        m_closesAfterReply = true;
        if (m_bodyDecoder->isComplete())
            return finish(std::move(m_reply));
    }
    finish(std::nullopt);
}

void HttpClient::parse()
{
    const auto number = m_callNumber;
    while (m_current && number == m_callNumber && !m_received.empty()) {
        if (!(m_bodyDecoder ? parseBody() : parseHead()))
            return;
    }
}

bool HttpClient::parseHead()
{
    const auto end = Http::findHeadEnd(m_received);
    if (!end) {
        if (m_received.size() > MaxHeadBytes)
            finish(std::nullopt);
        return false;
    }
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead(std::string_view(m_received).substr(0, *end)); });
    m_received.erase(0, *end);
    const auto *head = std::get_if<Http::ResponseHead>(&outcome);
    if (!head) {
        finish(std::nullopt);
        return false;
    }
    if ((*head)->getStatus() < FirstFinalStatus)
        return true;
    m_bodyDecoder = Http::BodyDecoder::forResponse(**head, m_current->call.method);
    m_reply.status = (*head)->getStatus();
    m_closesAfterReply =
        !(*head)->getKeepAlive() || m_bodyDecoder->framing() == Http::BodyFraming::UntilClose;
    if (m_bodyDecoder->isComplete())
        finish(std::move(m_reply));
    return true;
}

bool HttpClient::parseBody()
{
    m_received.erase(0, m_bodyDecoder->decode(m_received, m_reply.body));
    if (m_bodyDecoder->isMalformed() || m_reply.body.size() > MaxBodyBytes) {
        finish(std::nullopt);
        return false;
    }
    if (m_bodyDecoder->isComplete())
        finish(std::move(m_reply));
    return true;
}

void HttpClient::finish(std::optional<HttpReply> reply)
{
    // A late reply may still arrive on the connection of a failed call, and bytes after a reply
    // belong to no call.
    if (!reply || m_closesAfterReply || !m_received.empty())
        closeConnection();
    auto finished = std::move(*m_current);
    m_current.reset();
    m_bodyDecoder.reset();
    m_reactor.post([this, weak = std::weak_ptr(m_lifetime), reply = std::move(reply),
                       callback = std::move(finished.callback)]() mutable {
        if (weak.expired())
            return;
        callback(std::move(reply));
        if (!weak.expired())
            startNext();
    });
}

void HttpClient::closeConnection()
{
    // The reactor may be handling an event of this socket, so it is destroyed later.
    if (m_socket) {
        m_socket->close(m_current.has_value());
        m_reactor.post([closed = std::shared_ptr<Net::BufferedSocket>(std::move(m_socket))] {});
    }
    m_isConnecting = false;
    m_closesAfterReply = false;
    m_received.clear();
}

void HttpClient::scheduleTimeoutCheck(Base::Milliseconds delay)
{
    m_reactor.schedule(delay, [this, weak = std::weak_ptr(m_lifetime), number = m_callNumber] {
        if (!weak.expired())
            checkTimeout(number);
    });
}

void HttpClient::checkTimeout(std::uint64_t callNumber)
{
    if (!m_current || callNumber != m_callNumber)
        return;
    const auto now = m_reactor.now();
    const auto dueAt =
        std::min(m_activeAt + m_current->call.inactivityTimeout, m_startedAt + MaxCallTime);
    if (now >= dueAt)
        return finish(std::nullopt);
    scheduleTimeoutCheck(dueAt - now);
}

} // namespace Carawaykeel::Transport
