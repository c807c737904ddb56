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

/// Sends frames to one address over one TCP connection, all that have gathered in one write. While
/// the address cannot be reached frames are dropped; who needs an answer asks again.
class PeerChannel
{
public:
    /// The address is an IP number and a port.
    explicit PeerChannel(std::string address);
    ~PeerChannel();

    PeerChannel(const PeerChannel &) = delete;
    PeerChannel &operator=(const PeerChannel &) = delete;

    /// Takes one sealed message.
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

/// The bytes before each message on a connection between instances: its length, lowest byte first.
inline constexpr std::size_t FrameHeaderLength = 4;

/// The header for a message of a length.
std::string encodeFrameHeader(std::size_t length);

/// The length that a header gives.
std::size_t decodeFrameHeader(std::string_view header);

} // namespace Carawaykeel::Adapters
