#pragma once

#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Forwarding/Route.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Carawaykeel::Forwarding {

/// A team, the keys that name it, and what it has paid for.
struct Team
{
    Base::TeamId name;
    std::vector<std::string> keys;
    /// 0 is the most urgent; goes before the route's.
    std::optional<int> priority;
    /// All tokens that the team may use; empty when it is not limited.
    std::optional<Base::Tokens> prepaidTokens;
};

/// What is declared of a service's servers.
struct ServiceDefinition
{
    Base::ServiceName name;
    std::string healthPath;
    /// Connections that one server takes from all callers together.
    int maxConnections = 0;
    /// Tokens in one event of a stream at most; zero where the servers are not model engines.
    int tokensPerEvent = 0;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    Base::Milliseconds headerTimeout{3'000};
    Base::Milliseconds idleTimeout{15'000};
};

/// Everything that is declared for the router, in one version. Immutable once built.
class RouterConfiguration
{
public:
    RouterConfiguration(std::uint64_t version, std::vector<Route> routes, std::vector<Team> teams,
        std::vector<ServiceDefinition> services, CallerLimits limits);

    std::uint64_t version() const { return m_version; }
    const CallerLimits &limits() const { return m_limits; }
    const std::vector<Team> &teams() const { return m_teams; }

    /// The route of the host with the longest prefix that begins the path; null when there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// The team that holds a key; null when none does.
    const Team *findTeamByKey(std::string_view key) const;

    /// The team of a name; null when there is none.
    const Team *findTeamByName(const Base::TeamId &name) const;

    /// What is declared of a service; null when nothing is.
    const ServiceDefinition *findService(const Base::ServiceName &name) const;

    /// True when requests need a team's key at all.
    bool hasTeams() const { return !m_teams.empty(); }

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::vector<Team> m_teams;
    std::map<Base::ServiceName, ServiceDefinition> m_services;
    CallerLimits m_limits;
    /// Indices into the routes by host and prefix.
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_teamByKey;
};

} // namespace Carawaykeel::Forwarding
