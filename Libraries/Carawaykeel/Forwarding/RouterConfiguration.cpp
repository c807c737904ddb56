#include <Carawaykeel/Forwarding/RouterConfiguration.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Forwarding {

RouterConfiguration::RouterConfiguration(std::uint64_t version, std::vector<Route> routes,
    std::vector<Team> teams, std::vector<ServiceDefinition> services, CallerLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_teams(std::move(teams))
    , m_limits(limits)
{
    for (std::size_t n = 0; n < m_routes.size(); ++n)
        m_byHost[m_routes[n].host].emplace(m_routes[n].prefix, n);
    for (std::size_t n = 0; n < m_teams.size(); ++n) {
        for (const auto &key : m_teams[n].keys)
            m_teamByKey.emplace(key, n);
    }
    for (auto &service : services) {
        const auto name = service.name;
        m_services.emplace(name, std::move(service));
    }
}

const Route *RouterConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(std::string(host));
    if (it == m_byHost.end())
        return nullptr;
    auto prefix = path.substr(0, path.find('?'));
    while (true) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto route = it->second.find(prefix.substr(0, slash + 1));
        if (route != it->second.end())
            return &m_routes[route->second];
        prefix = prefix.substr(0, slash);
    }
}

const Team *RouterConfiguration::findTeamByKey(std::string_view key) const
{
    const auto it = m_teamByKey.find(std::string(key));
    return it == m_teamByKey.end() ? nullptr : &m_teams[it->second];
}

const Team *RouterConfiguration::findTeamByName(const Base::TeamId &name) const
{
    const auto it = std::ranges::find(m_teams, name, &Team::name);
    return it == m_teams.end() ? nullptr : &*it;
}

const ServiceDefinition *RouterConfiguration::findService(const Base::ServiceName &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

} // namespace Carawaykeel::Forwarding
