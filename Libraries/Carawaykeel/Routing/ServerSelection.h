#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Routing/RoutingPolicy.h>
#include <Carawaykeel/Routing/ServerState.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Carawaykeel::Routing {

/// What matters of a request for the choice of its server.
struct ServerPreference
{
    /// Hash of the prompt's leading blocks; zero when there is no prefix worth following.
    std::uint64_t prefixHash = 0;
    /// A server that has just failed this request.
    Base::ServerName failedServer;
};

/// The index of the server to take: the one that rendezvous hashing gives to the prefix, while it
/// is not overloaded, else the less loaded of two drawn at random. Empty when none has room.
/// Servers that are leaving or ejected are not taken, unless ejection has gone below the floor.
std::optional<std::size_t> selectServer(std::span<const ServerState> servers,
    const ServerPreference &hint, const RoutingPolicy &policy, Base::Milliseconds now,
    Base::RandomEngine &random);

/// Own requests and the reported load, which counts less the older it is, as a share of capacity.
double loadOf(const ServerState &server, const RoutingPolicy &policy, Base::Milliseconds now);

/// A hash that is the same in every process.
std::uint64_t hashText(std::string_view text);

/// The weight that rendezvous hashing gives to a server for a prefix; the greatest wins.
std::uint64_t rendezvousWeight(std::uint64_t prefixHash, std::string_view name);

} // namespace Carawaykeel::Routing
