#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
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

/// A team, its keys and its limits.
struct Team
{
    Base::TeamId name;
    std::vector<std::string> keys;
    /// 0 is the most urgent; overrides the route's priority.
    std::optional<int> priority;
    /// Total tokens that the team may use; empty when they are not limited.
    std::optional<Base::Tokens> prepaidTokens;
};

/// Declared properties of a service's servers.
struct ServiceDefinition
{
    Base::ServiceName name;
    std::string healthPath;
    /// Maximum number of connections that one server accepts from all callers together.
    int maxConnections = 0;
    /// Maximum number of tokens in one stream event; zero when the servers are not model engines.
    int tokensPerEvent = 0;
    /// How long a server is cold after its start.
    Base::Milliseconds coldTime;
    /// Requests per second that a cold server tolerates; zero when there is no such limit.
    double coldRequestsPerSecond = 0;
    /// Number of tokens that one server's memory holds, of prompts and responses together; zero
    /// when it is not declared.
    Base::Tokens memoryTokens = {};
};

/// Limits on requests and connections of callers.
struct CallerLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    Base::Milliseconds headerTimeout{3'000};
    Base::Milliseconds idleTimeout{15'000};
};

/// One version of the router's declared configuration. Immutable after construction.
class RouterConfiguration
{
public:
    RouterConfiguration(std::uint64_t version, std::vector<Route> routes, std::vector<Team> teams,
        std::vector<ServiceDefinition> services, CallerLimits limits);

    std::uint64_t version() const { return m_version; }
    const CallerLimits &limits() const { return m_limits; }
    const std::vector<Team> &teams() const { return m_teams; }

    /// Returns the host's route with the longest prefix of the path; null when there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the team of a key; null when there is none.
    const Team *findTeamByKey(std::string_view key) const;

    /// Returns the team with a name; null when there is none.
    const Team *findTeamByName(const Base::TeamId &name) const;

    const std::map<Base::ServiceName, ServiceDefinition> &services() const { return m_services; }

    /// Returns the definition of a service; null when it is not declared.
    const ServiceDefinition *findService(const Base::ServiceName &name) const;

    /// Returns true when teams are declared. Without teams, requests need no key.
    bool hasTeams() const { return !m_teams.empty(); }

private:
    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::vector<Team> m_teams;
    std::map<Base::ServiceName, ServiceDefinition> m_services;
    CallerLimits m_limits;
    /// Indices into m_routes by host and prefix.
    std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_teamByKey;
};

} // namespace Carawaykeel::Forwarding
