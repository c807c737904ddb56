#include <Carawaykeel/Fleet/RoutingTable.h>

namespace Carawaykeel::Fleet {

namespace {

template <typename Item>
std::optional<Item> findIn(const std::vector<Item> &items,
    const std::unordered_map<std::string, std::size_t> &index, const std::string &key)
{
    const auto it = index.find(key);
    if (it == index.end())
        return std::nullopt;
    return items.at(it->second);
}

} // namespace

RoutingTable::RoutingTable(std::uint64_t version, const Configuration::Declaration &declaration)
    : m_version(version)
    , m_teams(declaration.teams)
    , m_services(declaration.services)
{
    for (std::size_t n = 0; n < m_teams.size(); ++n) {
        m_teamsById.emplace(m_teams[n].id.text(), n);
        for (const auto &digest : m_teams[n].keyDigests)
            m_teamsByKey.emplace(digest, n);
    }
    for (std::size_t n = 0; n < m_services.size(); ++n) {
        // The request path needs no servers; the dispatcher has them.
        m_services[n].servers.clear();
        m_servicesByName.emplace(m_services[n].name.text(), n);
        for (const auto &model : m_services[n].models)
            m_servicesByModel.emplace(model.text(), n);
    }
}

std::optional<Configuration::TeamDeclaration> RoutingTable::findTeamByKeyDigest(
    const std::string &keyDigest) const
{
    return findIn(m_teams, m_teamsByKey, keyDigest);
}

std::optional<Configuration::TeamDeclaration> RoutingTable::findTeamById(
    const Base::TeamId &team) const
{
    return findIn(m_teams, m_teamsById, team.text());
}

std::optional<Configuration::ServiceDeclaration> RoutingTable::findServiceByModel(
    const std::string &model) const
{
    return findIn(m_services, m_servicesByModel, model);
}

std::optional<Configuration::ServiceDeclaration> RoutingTable::findService(
    const Base::ServiceName &name) const
{
    return findIn(m_services, m_servicesByName, name.text());
}

std::vector<Base::ModelName> RoutingTable::models() const
{
    std::vector<Base::ModelName> all;
    for (const auto &service : m_services)
        all.insert(all.end(), service.models.begin(), service.models.end());
    return all;
}

bool isIdempotentCall(const Configuration::ServiceDeclaration &service, std::string_view method,
    std::string_view path)
{
    for (const auto &route : service.routes) {
        if (route.method == method && path.starts_with(route.pathPrefix))
            return route.isIdempotent;
    }
    return method != "POST" && method != "PATCH";
}

} // namespace Carawaykeel::Fleet
