#pragma once

#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Carawaykeel::Net {

/// Result of a non-blocking read.
enum class ReadOutcome { Data, WouldBlock, EndOfStream, Failed };

/// A non-blocking connection. Bytes that cannot be sent yet are buffered and sent by flush().
class BufferedSocket
{
public:
    /// The reactor and the handler must outlive the socket.
    BufferedSocket(Reactor &reactor, const Poco::Net::StreamSocket &socket, SocketHandler &handler);
    ~BufferedSocket();

    BufferedSocket(const BufferedSocket &) = delete;
    BufferedSocket &operator=(const BufferedSocket &) = delete;

    /// Marks the socket as connecting and watches for the end of the connection attempt.
    void setConnecting();

    /// Returns true if the connection attempt succeeded; the socket then counts as connected.
    bool tryFinishConnecting();

    /// Maximum bytes of one read.
    static constexpr std::size_t MaxReadBytes = 32'768;

    /// Appends received bytes to `in`, at most `maxBytes` and MaxReadBytes.
    ReadOutcome read(std::string &in, std::size_t maxBytes = MaxReadBytes);

    /// Receives bytes and discards them. Adds their number to `discardedBytes`.
    ReadOutcome discard(std::size_t &discardedBytes);

    /// Sends bytes; buffers those that the system does not take. Returns false if the connection
    /// has failed.
    bool send(std::string_view bytes);

    /// Sends buffered bytes. Returns false if the connection has failed.
    bool flush();

    /// Number of bytes that are buffered for sending.
    std::size_t unsentBytes() const { return m_sendBuffer.size() - m_sentBytes; }

    /// Returns true if the peer has received all bytes that were sent, and the connection has not
    /// failed. Call after the end of the stream: the peer may have closed its side early, or reset
    /// the connection after that, which a read does not report.
    bool isOrderlyEnd() const;

    /// Number of bytes that the send buffer occupies.
    std::size_t bufferedBytes() const { return m_sendBuffer.capacity(); }

    /// Turns reading on or off; while it is off, the peer is slowed down by flow control.
    void setReading(bool isReading);
    bool isReading() const { return m_isReading; }

    /// Shuts down the sending side of the connection.
    void shutdownSend();

    /// Closes the connection. With `abort`, unsent bytes are discarded and the peer receives a
    /// reset.
    void close(bool abort = false);
    bool isOpen() const { return m_isOpen; }

private:
    ReadOutcome receive(std::span<char> buf, std::size_t &received);
    std::size_t sendNow(std::string_view bytes);
    void updateWatch();

    Reactor &m_reactor;
    Poco::Net::StreamSocket m_socket;
    SocketHandler &m_handler;
    std::string m_sendBuffer;
    std::size_t m_sentBytes = 0;
    bool m_isReading = true;
    bool m_isConnecting = false;
    bool m_isOpen = true;
    /// A failure is reported to one call only, and a later read may report an orderly end.
    bool m_hasSendFailed = false;
};

} // namespace Carawaykeel::Net
