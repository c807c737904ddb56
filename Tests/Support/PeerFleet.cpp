#include <Support/PeerFleet.h>

namespace Carawaykeel::Tests {

PeerFleet::Connection::Connection(
    PeerFleet &owner, std::size_t peerNumber, const Poco::Net::StreamSocket &stream)
    : fleet(owner)
    , peer(peerNumber)
    , socket(owner.m_reactor, stream, *this)
{
    socket.setReading(owner.m_isReading);
    ++fleet.m_connectionCount;
}

void PeerFleet::Connection::onReady(Net::Readiness)
{
    std::string buf;
    const auto outcome = socket.read(buf);
    if (outcome == Net::ReadOutcome::WouldBlock)
        return;
    if (outcome == Net::ReadOutcome::Data)
        return fleet.onBytes(peer);
    socket.close();
    --fleet.m_connectionCount;
}

PeerFleet::PeerFleet(std::size_t count, bool isReading)
    : m_isReading(isReading)
    , m_isReached(count)
{
    for (std::size_t n = 0; n < count; ++n) {
        m_listeners.push_back(std::make_unique<Net::Listener>(m_reactor, "127.0.0.1:0",
            [this, n](const Poco::Net::StreamSocket &stream) { accept(n, stream); }));
        m_addresses.push_back(m_listeners.back()->address().toString());
    }
    m_thread = std::thread([this] { m_reactor.run(); });
}

PeerFleet::~PeerFleet()
{
    m_reactor.stop();
    m_thread.join();
}

void PeerFleet::accept(std::size_t peer, const Poco::Net::StreamSocket &stream)
{
    m_connections.push_back(std::make_unique<Connection>(*this, peer, stream));
}

void PeerFleet::onBytes(std::size_t peer)
{
    if (m_isReached.at(peer))
        return;
    m_isReached.at(peer) = true;
    ++m_reachedCount;
}

} // namespace Carawaykeel::Tests
