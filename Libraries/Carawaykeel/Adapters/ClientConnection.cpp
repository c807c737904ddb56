#include <Carawaykeel/Adapters/ClientConnection.h>

#include <Carawaykeel/Net/PeerState.h>

#include <Poco/BufferedStreamBuf.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <array>
#include <sstream>
#include <utility>
#include <variant>

namespace Carawaykeel::Adapters {

namespace {

constexpr int MicrosecondsPerMillisecond = 1'000;
constexpr std::size_t ReadBytes = 16'384;
constexpr int FirstFinalStatus = 200;

Poco::Timespan toTimespan(Base::Milliseconds time)
{
    return {time.count() * MicrosecondsPerMillisecond};
}

} // namespace

class ClientConnection::BodyBuffer : public Poco::BufferedStreamBuf
{
public:
    explicit BodyBuffer(ClientConnection &connection)
        : Poco::BufferedStreamBuf(ReadBytes, std::ios::in)
        , m_connection(connection)
    {
    }

protected:
    int readFromDevice(char *buffer, std::streamsize length) override
    {
        return static_cast<int>(
            m_connection.readBody(std::span(buffer, static_cast<std::size_t>(length))));
    }

private:
    ClientConnection &m_connection;
};

ClientConnection::ClientConnection(
    const std::string &address, Base::Milliseconds connectTimeout, Base::Milliseconds timeout)
    : m_address(address)
{
    m_socket.connect(Poco::Net::SocketAddress(address), toTimespan(connectTimeout));
    m_socket.setNoDelay(true);
    setTimeout(timeout);
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::setTimeout(Base::Milliseconds timeout)
{
    m_socket.setSendTimeout(toTimespan(timeout));
    m_socket.setReceiveTimeout(toTimespan(timeout));
}

void ClientConnection::sendRequest(Poco::Net::HTTPRequest &request, std::string_view body)
{
    request.setHost(m_address);
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    std::ostringstream head;
    request.write(head);
    const auto bytes = head.str().append(body);
    m_method = request.getMethod();
    m_decoder.reset();
    try {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    } catch (const Poco::Exception &) {
        // Reading reports what became of the connection.
        m_hasSendFailed = true;
    }
}

Http::ResponseHead ClientConnection::readHead()
{
    Http::ResponseHead head;
    do {
        auto outcome = Base::toOutcome<Http::ResponseHead>(
            [text = readHeadText()] { return Http::tryParseResponseHead(text); });
        if (const auto *failure = std::get_if<Base::Failure>(&outcome))
            throw Poco::Net::MessageException(failure->message);
        head = std::move(std::get<Http::ResponseHead>(outcome));
    } while (head->getStatus() < FirstFinalStatus);
    m_isKeptAlive = head->getKeepAlive();
    m_decoder = Http::BodyDecoder::forResponse(*head, m_method);
    m_body.reset();
    m_bodyBuffer = std::make_unique<BodyBuffer>(*this);
    m_body = std::make_unique<std::istream>(m_bodyBuffer.get());
    return head;
}

std::string ClientConnection::readHeadText()
{
    auto end = Http::findHeadEnd(m_received);
    while (!end) {
        if (m_received.size() > MaxHeadBytes)
            throw Poco::Net::MessageException("the head is too long");
        if (!receive())
            throw Poco::Net::NoMessageException("the connection was closed");
        end = Http::findHeadEnd(m_received);
    }
    auto text = m_received.substr(0, *end);
    m_received.erase(0, *end);
    return text;
}

bool ClientConnection::receive()
{
    std::array<char, ReadBytes> buf; // NOLINT: filled by the read
    const int n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
    if (n <= 0)
        return false;
    m_received.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::size_t ClientConnection::readBody(std::span<char> buf)
{
    std::string content;
    while (content.empty() && !m_decoder->isComplete() && !m_decoder->isMalformed()) {
        if (m_received.empty() && !receive()) {
            onEndOfStream();
            break;
        }
        // The content is never longer than the bytes that it is decoded from.
        m_received.erase(
            0, m_decoder->decode(std::string_view(m_received).substr(0, buf.size()), content));
    }
    std::ranges::copy(content, buf.begin());
    return content.size();
}

void ClientConnection::onEndOfStream()
{
    // A response without a length that ends before its request was received may be a part of one.
    if (!m_hasSendFailed && Net::hasReceivedAll(m_socket))
        m_decoder->onConnectionClosed();
}

bool ClientConnection::isReusable() const
{
    return m_decoder && isBodyComplete() && hasBodyLength() && m_isKeptAlive && m_received.empty()
        && !m_hasSendFailed && !m_socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
}

} // namespace Carawaykeel::Adapters
