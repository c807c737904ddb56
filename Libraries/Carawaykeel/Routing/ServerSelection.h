#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Routing/RoutingPolicy.h>
#include <Carawaykeel/Routing/ServerState.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Carawaykeel::Routing {

/// Properties of a request that influence the selection of its server.
struct ServerPreference
{
    /// Hash of the prompt's leading blocks; zero when the request has no server affinity.
    std::uint64_t prefixHash = 0;
    /// The server at which the previous attempt of this request failed. It is selected again only
    /// if no other server is eligible.
    Base::ServerName failedServer;
};

/// Returns the index of the selected server: the one that rendezvous hashing assigns to the prefix
/// unless it is overloaded, otherwise the less loaded of two random ones. Empty when no server has
/// a free slot. Leaving servers are never selected, ejected ones only when fewer than the minimum
/// share of servers would stay eligible.
std::optional<std::size_t> selectServer(std::span<const ServerState> servers,
    const ServerPreference &preference, const RoutingPolicy &policy, Base::Milliseconds now,
    Base::RandomEngine &random);

/// Returns this instance's requests at the server as a share of its capacity, plus the reported
/// load with a weight that decays with its age.
double effectiveLoad(
    const ServerState &server, const RoutingPolicy &policy, Base::Milliseconds now);

/// Returns a hash that is the same in every process.
std::uint64_t hashText(std::string_view text);

/// Returns the rendezvous hashing weight of a server for a prefix. The highest weight wins.
std::uint64_t rendezvousWeight(std::uint64_t prefixHash, std::string_view name);

} // namespace Carawaykeel::Routing
