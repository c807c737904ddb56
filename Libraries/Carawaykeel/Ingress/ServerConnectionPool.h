#pragma once

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
    ServerConnectionPool(Net::Reactor &reactor, const Forwarding::Dialect &dialect);

    /// An idle connection that may be reused, else one that is being made; null when that failed at
    /// once.
    std::shared_ptr<ServerConnection> acquire(const std::string &address);

    /// Gives a connection back after its exchange; it is kept if it may be reused.
    void release(std::shared_ptr<ServerConnection> connection);

    /// Closes connections that have been idle for too long, and those to addresses without servers.
    void closeExpired(const std::vector<std::string> &addresses);

private:
    Net::Reactor &m_reactor;
    const Forwarding::Dialect &m_dialect;
    std::map<std::string, std::vector<std::shared_ptr<ServerConnection>>> m_idle;
};

} // namespace Carawaykeel::Ingress
