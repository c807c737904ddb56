#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Carawaykeel::Adapters {

/// Sends frames to one address over one TCP connection, all queued frames in one write. Frames are
/// dropped while the address is unreachable; senders that need a reply retry.
class PeerChannel
{
public:
    /// `address` is an IP number and a port.
    explicit PeerChannel(std::string address);
    ~PeerChannel();

    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;

    /// Queues one authenticated message.
    void send(std::string_view message);

    const std::string &address() const { return m_address; }
    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    void run();
    std::string takeFrames();

    const std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_queuedFrames;
    bool m_isStopping = false;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::thread m_thread;
};

/// Size of the header before each message on a connection between instances. The header is the
/// message's length in little-endian byte order.
inline constexpr std::size_t FrameHeaderLength = 4;

/// Returns the header for a message of this length.
std::string encodeFrameHeader(std::size_t length);

/// Returns the message length that a header contains.
std::size_t decodeFrameHeader(std::string_view header);

} // namespace Carawaykeel::Adapters
