#include <Carawaykeel/Net/BufferedSocket.h>

#include <Carawaykeel/Net/PeerState.h>

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Carawaykeel::Net {

namespace {

/// Sent bytes are removed from the front of the buffer once there are this many.
constexpr std::size_t CompactionThreshold = 65'536;

/// The library reports a full or empty buffer of the system with one of several exceptions.
bool isWouldBlock(const Poco::Exception &ex)
{
    return ex.code() == EAGAIN || ex.code() == EWOULDBLOCK
        || dynamic_cast<const Poco::TimeoutException *>(&ex) != nullptr;
}

} // namespace

BufferedSocket::BufferedSocket(
    Reactor &reactor, const Poco::Net::StreamSocket &socket, SocketHandler &handler)
    : m_reactor(reactor)
    , m_socket(socket)
    , m_handler(handler)
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
    updateWatch();
}

BufferedSocket::~BufferedSocket()
{
    close();
}

void BufferedSocket::updateWatch()
{
    if (m_isOpen)
        m_reactor.watch(m_socket, m_handler, m_isReading, m_isConnecting || unsentBytes() > 0);
}

void BufferedSocket::setConnecting()
{
    m_isConnecting = true;
    updateWatch();
}

bool BufferedSocket::tryFinishConnecting()
{
    try {
        const int error = m_socket.impl()->socketError();
        if (error != 0)
            return false;
        m_socket.peerAddress();
    } catch (const Poco::Exception &) {
        return false;
    }
    m_isConnecting = false;
    updateWatch();
    return true;
}

ReadOutcome BufferedSocket::receive(std::span<char> buf, std::size_t &received)
{
    try {
        const int n = m_socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        if (n > 0) {
            received = static_cast<std::size_t>(n);
            return ReadOutcome::Data;
        }
        return n == 0 ? ReadOutcome::EndOfStream : ReadOutcome::WouldBlock;
    } catch (const Poco::Exception &ex) {
        return isWouldBlock(ex) ? ReadOutcome::WouldBlock : ReadOutcome::Failed;
    }
}

ReadOutcome BufferedSocket::read(std::string &in, std::size_t maxBytes)
{
    std::array<char, MaxReadBytes> buf; // NOLINT: filled by the read
    std::size_t n = 0;
    const auto outcome = receive(std::span(buf).first(std::min(maxBytes, buf.size())), n);
    in.append(buf.data(), n);
    return outcome;
}

ReadOutcome BufferedSocket::discard(std::size_t &discardedBytes)
{
    std::array<char, MaxReadBytes> buf; // NOLINT: filled by the read
    std::size_t n = 0;
    const auto outcome = receive(buf, n);
    discardedBytes += n;
    return outcome;
}

bool BufferedSocket::send(std::string_view bytes)
{
    if (!m_isOpen)
        return false;
    // A large message is copied only as far as the system does not take it at once.
    if (!m_isConnecting && unsentBytes() == 0) {
        try {
            bytes.remove_prefix(sendNow(bytes));
        } catch (const Poco::Exception &) {
            return false;
        }
        if (bytes.empty())
            return true;
    }
    m_sendBuffer.append(bytes);
    updateWatch();
    return true;
}

std::size_t BufferedSocket::sendNow(std::string_view bytes)
{
    std::size_t sent = 0;
    try {
        while (sent < bytes.size()) {
            const int n =
                m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
            if (n <= 0)
                break;
            sent += static_cast<std::size_t>(n);
        }
    } catch (const Poco::Exception &ex) {
        if (!isWouldBlock(ex)) {
            m_hasSendFailed = true;
            throw;
        }
    }
    return sent;
}

bool BufferedSocket::isOrderlyEnd() const
{
    return !m_hasSendFailed && unsentBytes() == 0 && hasReceivedAll(m_socket);
}

bool BufferedSocket::flush()
{
    if (!m_isOpen)
        return false;
    if (m_isConnecting)
        return true;
    try {
        m_sentBytes += sendNow(std::string_view(m_sendBuffer).substr(m_sentBytes));
    } catch (const Poco::Exception &) {
        return false;
    }
    if (unsentBytes() == 0) {
        // A large response must not occupy memory for as long as its connection is kept.
        if (m_sendBuffer.capacity() > CompactionThreshold) {
            m_sendBuffer = {};
        } else {
            m_sendBuffer.clear();
        }
        m_sentBytes = 0;
    } else if (m_sentBytes >= CompactionThreshold) {
        m_sendBuffer.erase(0, m_sentBytes);
        m_sentBytes = 0;
    }
    updateWatch();
    return true;
}

void BufferedSocket::setReading(bool isReading)
{
    if (m_isReading == isReading)
        return;
    m_isReading = isReading;
    updateWatch();
}

void BufferedSocket::shutdownSend()
{
    try {
        m_socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection.
    }
}

void BufferedSocket::close(bool abort)
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_reactor.unwatch(m_socket);
    try {
        if (abort)
            m_socket.setLinger(true, 0);
        m_socket.close();
    } catch (const Poco::Exception &) {
        // The descriptor is closed even if an error is reported.
    }
}

} // namespace Carawaykeel::Net
