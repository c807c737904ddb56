#pragma once

#include <Carawaykeel/Ingress/DescriptorBudget.h>
#include <Carawaykeel/Ingress/ServerConnection.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// Keeps idle connections to backend servers for reuse.
class ServerConnectionPool
{
public:
    ServerConnectionPool(Net::Reactor &reactor, const Forwarding::Dialect &dialect,
        BufferAccount &buffers, std::shared_ptr<DescriptorBudget> descriptors = nullptr);

    /// True if a request can get a connection without exceeding the process's descriptors.
    bool hasRoom() const;

    /// Returns a reusable idle connection, or else a new one that is still connecting; null if that
    /// fails immediately.
    std::shared_ptr<ServerConnection> acquire(const std::string &address);

    /// Releases a connection after its exchange. It is kept if it is reusable.
    void release(std::shared_ptr<ServerConnection> connection);

    /// Fails requests that wait for a connection and must not be sent any more.
    void withdrawDisallowedRequests();

    /// Closes connections that were idle for too long, and those to addresses not in `addresses`.
    void closeExpired(const std::vector<std::string> &addresses);

private:
    static constexpr std::size_t MinCleanUpSize = 64;

    void addConnecting(const std::shared_ptr<ServerConnection> &connection);

    Net::Reactor &m_reactor;
    const Forwarding::Dialect &m_dialect;
    BufferAccount &m_buffers;
    /// Null if connections are not limited. Shared with connections that outlive the pool by tasks
    /// of the reactor.
    const std::shared_ptr<DescriptorBudget> m_descriptors;
    std::map<std::string, std::vector<std::shared_ptr<ServerConnection>>> m_idleConnections;
    /// Connections that were new when they were acquired; most are established by now.
    std::vector<std::weak_ptr<ServerConnection>> m_connecting;
    /// Size of `m_connecting` at which established connections are removed from it.
    std::size_t m_cleanUpSize = MinCleanUpSize;
};

} // namespace Carawaykeel::Ingress
