#include <Carawaykeel/Ingress/ServerConnectionPool.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

ServerConnectionPool::ServerConnectionPool(Net::Reactor &reactor,
    const Forwarding::Dialect &dialect, BufferAccount &buffers,
    std::shared_ptr<DescriptorBudget> descriptors)
    : m_reactor(reactor)
    , m_dialect(dialect)
    , m_buffers(buffers)
    , m_descriptors(std::move(descriptors))
{
}

bool ServerConnectionPool::hasRoom() const
{
    const auto hasIdle = [](const auto &entry) { return !entry.second.empty(); };
    return !m_descriptors || m_descriptors->hasRoomForServer()
        || std::ranges::any_of(m_idleConnections, hasIdle);
}

std::shared_ptr<ServerConnection> ServerConnectionPool::acquire(const std::string &address)
{
    auto &idle = m_idleConnections[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable(m_reactor.now()))
            return connection;
        connection->close();
    }
    std::shared_ptr<ServerConnection> connection;
    if (m_descriptors) {
        m_descriptors->addServer();
        connection.reset(new ServerConnection(m_reactor, m_dialect, m_buffers, address),
            [descriptors = m_descriptors](ServerConnection *ended) {
                descriptors->removeServer();
                delete ended;
            });
    } else {
        connection = std::make_shared<ServerConnection>(m_reactor, m_dialect, m_buffers, address);
    }
    if (!connection->connect())
        return nullptr;
    addConnecting(connection);
    return connection;
}

void ServerConnectionPool::addConnecting(const std::shared_ptr<ServerConnection> &connection)
{
    if (m_connecting.size() >= m_cleanUpSize) {
        std::erase_if(m_connecting, [](const auto &weak) {
            const auto known = weak.lock();
            return !known || !known->isConnecting();
        });
        m_cleanUpSize = std::max(MinCleanUpSize, 2 * m_connecting.size());
    }
    m_connecting.push_back(connection);
}

void ServerConnectionPool::withdrawDisallowedRequests()
{
    // A withdrawn request acquires another connection, which changes the list.
    for (const auto &weak : std::exchange(m_connecting, {})) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        connection->withdrawDisallowedRequest();
        if (connection->isConnecting())
            m_connecting.push_back(weak);
    }
}

void ServerConnectionPool::release(std::shared_ptr<ServerConnection> connection)
{
    if (connection->isReusable(m_reactor.now()))
        m_idleConnections[connection->address()].push_back(std::move(connection));
}

void ServerConnectionPool::closeExpired(const std::vector<std::string> &addresses)
{
    for (auto it = m_idleConnections.begin(); it != m_idleConnections.end();) {
        const bool isKnown = std::ranges::find(addresses, it->first) != addresses.end();
        std::erase_if(it->second, [&](const auto &connection) {
            if (isKnown && connection->isReusable(m_reactor.now()))
                return false;
            connection->close();
            return true;
        });
        it = it->second.empty() ? m_idleConnections.erase(it) : std::next(it);
    }
}

} // namespace Carawaykeel::Ingress
