#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Net/Reactor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace Carawaykeel::Ingress {

/// Tells servers that crashed from connections that were lost for another reason: a crashed server
/// refuses the next connection.
class ServerCrashDetector
{
public:
    using Callback = std::function<void(
        const Base::ServerName &server, std::span<const std::uint64_t> promptParts)>;

    /// Time within which a crashed server's machine refuses a connection. One that neither refuses
    /// nor accepts it counts as unreachable.
    static constexpr Base::Milliseconds ProbeTimeout{600};

    /// The callback gets the parts of all requests that were lost with the server.
    ServerCrashDetector(Net::Reactor &reactor, Callback onServerCrashed);
    ~ServerCrashDetector();

    /// Call when a server's connection was lost before it responded to a request with these parts.
    void onConnectionLost(const Base::ServerName &server, const std::string &address,
        std::span<const std::uint64_t> promptParts);

private:
    class Probe;
    struct LostRequests
    {
        std::shared_ptr<Probe> probe;
        std::set<std::uint64_t> promptParts;
    };

    void onProbeEnded(const Base::ServerName &server, bool wasRefused);

    Net::Reactor &m_reactor;
    const Callback m_onServerCrashed;
    /// Servers that are being probed.
    std::map<Base::ServerName, LostRequests> m_lostRequests;
};

} // namespace Carawaykeel::Ingress
