#include <Carawaykeel/Adapters/PeerChannel.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

/// Limit on the frames queued for a slow or dead peer; further frames are dropped.
constexpr std::size_t MaxQueuedBytes = 4 * 1'024 * 1'024;
const Poco::Timespan ConnectTimeout(0, 300'000);
const Poco::Timespan SendTimeout(1, 0);
/// A connection whose sent bytes stay unacknowledged for this long counts as lost.
constexpr int UnacknowledgedTimeoutMs = 1'000;
constexpr std::chrono::milliseconds ReconnectDelay{50};
constexpr unsigned BitsPerByte = 8;

void sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        sent += static_cast<std::size_t>(
            socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
}

} // namespace

std::string encodeFrameHeader(std::size_t length)
{
    std::string header;
    for (std::size_t n = 0; n < FrameHeaderLength; ++n)
        header.push_back(static_cast<char>(length >> (n * BitsPerByte)));
    return header;
}

std::size_t decodeFrameHeader(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < FrameHeaderLength; ++n) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header.at(n)))
            << (n * BitsPerByte);
    }
    return length;
}

PeerChannel::PeerChannel(std::string address)
    : m_address(std::move(address))
    , m_thread([this] { run(); })
{
}

PeerChannel::~PeerChannel()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void PeerChannel::send(std::string_view message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queuedFrames.size() + message.size() > MaxQueuedBytes)
            return;
        m_queuedFrames += encodeFrameHeader(message.size());
        m_queuedFrames += message;
    }
    m_wake.notify_one();
}

std::string PeerChannel::takeFrames()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_isStopping || !m_queuedFrames.empty(); });
    return m_isStopping ? std::string() : std::exchange(m_queuedFrames, std::string());
}

void PeerChannel::run()
{
    std::optional<Poco::Net::StreamSocket> socket;
    while (true) {
        const auto frames = takeFrames();
        if (frames.empty())
            return;
        try {
            if (!socket) {
                Poco::Net::StreamSocket newSocket;
                newSocket.connect(Poco::Net::SocketAddress(m_address), ConnectTimeout);
                newSocket.setNoDelay(true);
                newSocket.setSendTimeout(SendTimeout);
                newSocket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
                socket = newSocket;
            }
            sendAll(*socket, frames);
            m_bytesSent += frames.size();
        } catch (const Poco::Exception &) {
            socket.reset();
            std::this_thread::sleep_for(ReconnectDelay);
        }
    }
}

} // namespace Carawaykeel::Adapters
