#pragma once

#include <Carawaykeel/Configuration/Declaration.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Carawaykeel::Fleet {

/// What a request's path needs of the configuration in force, made for look-up. Immutable.
class RoutingTable
{
public:
    RoutingTable() = default;
    RoutingTable(std::uint64_t version, const Configuration::Declaration &declaration);

    std::uint64_t version() const { return m_version; }

    /// The team that has the key, by the SHA-256 of the key in hexadecimal digits.
    std::optional<Configuration::TeamDeclaration> findTeamByKeyDigest(
        const std::string &keyDigest) const;
    std::optional<Configuration::TeamDeclaration> findTeamById(const Base::TeamId &team) const;

    /// The service that has the model.
    std::optional<Configuration::ServiceDeclaration> findServiceByModel(
        const std::string &model) const;
    std::optional<Configuration::ServiceDeclaration> findService(
        const Base::ServiceName &name) const;
    std::vector<Base::ModelName> models() const;

private:
    std::uint64_t m_version = 0;
    std::vector<Configuration::TeamDeclaration> m_teams;
    std::vector<Configuration::ServiceDeclaration> m_services;
    std::unordered_map<std::string, std::size_t> m_teamsByKey;
    std::unordered_map<std::string, std::size_t> m_teamsById;
    std::unordered_map<std::string, std::size_t> m_servicesByModel;
    std::unordered_map<std::string, std::size_t> m_servicesByName;
};

/// Whether calls of a route may be repeated: as declared, else by the method (RFC 9110, section
/// 9.2.2).
bool isIdempotentCall(const Configuration::ServiceDeclaration &service, std::string_view method,
    std::string_view path);

} // namespace Carawaykeel::Fleet
