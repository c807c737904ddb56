#include <Carawaykeel/Ingress/CallerListener.h>

#include <utility>
#include <vector>

namespace Carawaykeel::Ingress {

CallerListener::CallerListener(Net::Reactor &reactor, const std::string &address,
    RequestHandler &handler, CallerConnection::LimitsSource limits, std::size_t most)
    : m_reactor(reactor)
    , m_handler(handler)
    , m_limits(std::move(limits))
    , m_most(most)
    , m_listener(
          reactor, address, [this](const Poco::Net::StreamSocket &socket) { accept(socket); })
{
}

void CallerListener::accept(const Poco::Net::StreamSocket &socket)
{
    // A closed connection tells the caller that nothing was read, so it may go elsewhere.
    if (m_connections.size() >= m_most)
        return Poco::Net::StreamSocket(socket).close();
    auto connection = std::make_shared<CallerConnection>(
        m_reactor, socket, m_handler, m_limits, [this](CallerConnection &closed) {
            // The connection still runs, so it is let go in a turn of its own.
            const auto it = m_connections.find(&closed);
            if (it == m_connections.end())
                return;
            m_reactor.post([kept = std::move(it->second)] {});
            m_connections.erase(it);
        });
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

void CallerListener::closeIdle()
{
    std::vector<std::shared_ptr<CallerConnection>> all;
    for (const auto &[key, connection] : m_connections)
        all.push_back(connection);
    for (const auto &connection : all)
        connection->closeWhenIdle();
}

} // namespace Carawaykeel::Ingress
