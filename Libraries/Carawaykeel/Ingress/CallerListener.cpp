#include <Carawaykeel/Ingress/CallerListener.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Time between two checks for connections that last too long. One timer for all connections: one
/// for each request would occupy memory until it is due, long after the request.
constexpr Base::Milliseconds CheckInterval{200};

} // namespace

CallerListener::CallerListener(Net::Reactor &reactor, const std::string &address,
    RequestHandler &handler, CallerConnection::LimitsProvider limitsProvider, CallerPolicy policy,
    BufferAccount &buffers)
    : m_reactor(reactor)
    , m_handler(handler)
    , m_limitsProvider(std::move(limitsProvider))
    , m_policy(std::move(policy))
    , m_buffers(buffers)
    , m_lifetime(std::make_shared<char>())
    , m_listener(
          reactor, address, [this](const Poco::Net::StreamSocket &socket) { accept(socket); })
{
    scheduleCheck();
}

bool CallerListener::hasRoom() const
{
    return m_connections.size() < m_policy.maxConnections
        && (!m_policy.descriptors || m_policy.descriptors->hasRoomForCaller());
}

void CallerListener::accept(const Poco::Net::StreamSocket &socket)
{
    if (!hasRoom())
        evictOne();
    // A connection that is closed at once shows the caller that nothing was read, so it can retry
    // at another instance.
    if (!hasRoom())
        return Poco::Net::StreamSocket(socket).close();
    auto connection =
        std::make_shared<CallerConnection>(m_reactor, socket, m_handler, m_limitsProvider,
            m_buffers, m_policy, [this](CallerConnection &closed) { onClosed(closed); });
    m_connections.emplace(connection.get(), connection);
    ++m_connectionsByPeer[connection->peer()];
    if (m_policy.descriptors)
        m_policy.descriptors->addCaller();
    connection->start();
}

void CallerListener::onClosed(CallerConnection &connection)
{
    const auto it = m_connections.find(&connection);
    if (it == m_connections.end())
        return;
    const auto peer = m_connectionsByPeer.find(connection.peer());
    if (--peer->second == 0)
        m_connectionsByPeer.erase(peer);
    if (m_policy.descriptors)
        m_policy.descriptors->removeCaller();
    // The connection is on the call stack, so the reactor destroys it later.
    m_reactor.post([keptAlive = std::move(it->second)] {});
    m_connections.erase(it);
}

void CallerListener::evictOne()
{
    // While connections are short, a peer that holds more than half of them gives one up first.
    const auto isLargePeer = [this](const std::string &peer) {
        return m_connectionsByPeer.at(peer) > m_connections.size() / 2;
    };
    CallerConnection *victim = nullptr;
    std::pair<bool, Base::Milliseconds> victimRank;
    const auto now = m_reactor.now();
    for (const auto &[key, connection] : m_connections) {
        if (!connection->isEvictable())
            continue;
        const std::pair rank(isLargePeer(connection->peer()), now - connection->waitingSince());
        if (!victim || rank > victimRank) {
            victim = connection.get();
            victimRank = rank;
        }
    }
    if (victim)
        victim->evict();
}

void CallerListener::scheduleCheck()
{
    m_reactor.schedule(CheckInterval, [this, weak = std::weak_ptr(m_lifetime)] {
        if (weak.expired())
            return;
        for (const auto &connection : connections())
            connection->checkTimes();
        scheduleCheck();
    });
}

std::vector<std::shared_ptr<CallerConnection>> CallerListener::connections() const
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    connections.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections)
        connections.push_back(connection);
    return connections;
}

std::size_t CallerListener::unsentCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_connections, [](const auto &entry) { return entry.second->hasUnsentBytes(); }));
}

void CallerListener::closeIdle()
{
    for (const auto &connection : connections())
        connection->closeWhenIdle();
}

} // namespace Carawaykeel::Ingress
