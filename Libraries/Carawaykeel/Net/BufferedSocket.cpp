#include <Carawaykeel/Net/BufferedSocket.h>

#include <Poco/Exception.h>
#include <array>
#include <utility>

namespace Carawaykeel::Net {

namespace {

constexpr int ReadSize = 32'768;
/// Sent bytes are removed from the front of the buffer once there are this many.
constexpr std::size_t CompactionThreshold = 65'536;

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

ReadOutcome BufferedSocket::read(std::string &in)
{
    std::array<char, ReadSize> buf; // NOLINT: filled by the read
    try {
        const int n = m_socket.receiveBytes(buf.data(), ReadSize);
        if (n > 0) {
            in.append(buf.data(), static_cast<std::size_t>(n));
            return ReadOutcome::Data;
        }
        return n == 0 ? ReadOutcome::EndOfStream : ReadOutcome::WouldBlock;
    } catch (const Poco::TimeoutException &) {
        return ReadOutcome::WouldBlock;
    } catch (const Poco::Exception &) {
        return ReadOutcome::Failed;
    }
}

bool BufferedSocket::send(std::string_view bytes)
{
    m_sendBuffer.append(bytes);
    return flush();
}

bool BufferedSocket::flush()
{
    if (!m_isOpen)
        return false;
    if (m_isConnecting)
        return true;
    try {
        while (unsentBytes() > 0) {
            const int n = m_socket.sendBytes(
                m_sendBuffer.data() + m_sentBytes, static_cast<int>(unsentBytes()));
            if (n <= 0)
                break;
            m_sentBytes += static_cast<std::size_t>(n);
        }
    } catch (const Poco::TimeoutException &) {
        // The socket's send buffer is full.
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
