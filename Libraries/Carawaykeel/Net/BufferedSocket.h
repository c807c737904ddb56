#pragma once

#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Carawaykeel::Net {

/// What a read found.
enum class ReadOutcome { Data, WouldBlock, EndOfStream, Failed };

/// A connection that never blocks: what cannot be sent yet is kept, and sent by flush().
class BufferedSocket
{
public:
    /// The reactor and the handler outlive the socket.
    BufferedSocket(Reactor &reactor, const Poco::Net::StreamSocket &socket, SocketHandler &handler);
    ~BufferedSocket();

    BufferedSocket(const BufferedSocket &) = delete;
    BufferedSocket &operator=(const BufferedSocket &) = delete;

    /// Watches for the end of a connection attempt.
    void setConnecting();

    /// True when the connection attempt has succeeded.
    bool tryFinishConnecting();

    /// Appends what has come, up to one buffer.
    ReadOutcome read(std::string &in);

    /// Sends, or keeps for later. Answers false when the connection has failed.
    bool send(std::string_view bytes);

    /// Sends what was kept. Answers false when the connection has failed.
    bool flush();

    /// Bytes that were kept.
    std::size_t unsentBytes() const { return m_out.size() - m_sent; }

    /// Says whether data is to be read; without it the sender is held back.
    void setReading(bool isReading);
    bool isReading() const { return m_isReading; }

    /// Tells the other side that no more will be sent.
    void shutdownSend();

    /// Ends the connection. With abort, what was kept is dropped and the other side sees a reset.
    void close(bool abort = false);
    bool isOpen() const { return m_isOpen; }

private:
    void watch();

    Reactor &m_reactor;
    Poco::Net::StreamSocket m_socket;
    SocketHandler &m_handler;
    std::string m_out;
    std::size_t m_sent = 0;
    bool m_isReading = true;
    bool m_isConnecting = false;
    bool m_isOpen = true;
};

} // namespace Carawaykeel::Net
