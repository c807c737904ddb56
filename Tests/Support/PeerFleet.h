#pragma once

#include <Carawaykeel/Net/BufferedSocket.h>
#include <Carawaykeel/Net/Listener.h>
#include <Carawaykeel/Net/Reactor.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

/// Many peers of one instance on loopback sockets, served by one thread. They accept connections
/// and count the bytes that they receive.
class PeerFleet
{
public:
    /// With `isReading` false, the peers accept connections but never read from them.
    explicit PeerFleet(std::size_t count, bool isReading = true);
    ~PeerFleet();

    PeerFleet(const PeerFleet &) = delete;
    PeerFleet &operator=(const PeerFleet &) = delete;

    std::size_t count() const { return m_listeners.size(); }
    std::string addressOf(std::size_t n) const { return m_addresses.at(n); }
    /// Number of peers that have received at least one byte.
    std::size_t reachedCount() const { return m_reachedCount; }
    /// Number of connections that are open now.
    std::size_t connectionCount() const { return m_connectionCount; }

private:
    struct Connection : Net::SocketHandler
    {
        Connection(PeerFleet &owner, std::size_t peerNumber, const Poco::Net::StreamSocket &stream);
        void onReady(Net::Readiness readiness) override;
        void onFailure() override { socket.close(); }

        PeerFleet &fleet;
        const std::size_t peer;
        Net::BufferedSocket socket;
    };

    void accept(std::size_t peer, const Poco::Net::StreamSocket &stream);
    void onBytes(std::size_t peer);

    const bool m_isReading;
    Net::Reactor m_reactor;
    std::vector<std::unique_ptr<Net::Listener>> m_listeners;
    std::vector<std::string> m_addresses;
    std::vector<bool> m_isReached;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::atomic<std::size_t> m_reachedCount = 0;
    std::atomic<std::size_t> m_connectionCount = 0;
    std::thread m_thread;
};

} // namespace Carawaykeel::Tests
