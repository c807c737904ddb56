#include <Carawaykeel/Ingress/CallerListener.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Carawaykeel::Ingress {

CallerListener::CallerListener(Net::Reactor &reactor, const std::string &address,
    RequestHandler &handler, CallerConnection::LimitsProvider limitsProvider,
    std::size_t maxConnections, BufferAccount &buffers)
    : m_reactor(reactor)
    , m_handler(handler)
    , m_limitsProvider(std::move(limitsProvider))
    , m_maxConnections(maxConnections)
    , m_buffers(buffers)
    , m_listener(
          reactor, address, [this](const Poco::Net::StreamSocket &socket) { accept(socket); })
{
}

void CallerListener::accept(const Poco::Net::StreamSocket &socket)
{
    // A connection that is closed at once shows the caller that nothing was read, so it can retry
    // at another instance.
    if (m_connections.size() >= m_maxConnections)
        return Poco::Net::StreamSocket(socket).close();
    auto connection = std::make_shared<CallerConnection>(m_reactor, socket, m_handler,
        m_limitsProvider, m_buffers, [this](CallerConnection &closed) {
            // The connection is on the call stack, so the reactor destroys it later.
            const auto it = m_connections.find(&closed);
            if (it == m_connections.end())
                return;
            m_reactor.post([keptAlive = std::move(it->second)] {});
            m_connections.erase(it);
        });
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

std::size_t CallerListener::unsentCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_connections, [](const auto &entry) { return entry.second->hasUnsentBytes(); }));
}

void CallerListener::closeIdle()
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    for (const auto &[key, connection] : m_connections)
        connections.push_back(connection);
    for (const auto &connection : connections)
        connection->closeWhenIdle();
}

} // namespace Carawaykeel::Ingress
