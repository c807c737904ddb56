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

/// The teams and services of the configuration in force, indexed for look-up by request threads.
/// Immutable.
class RoutingTable
{
public:
    RoutingTable() = default;
    RoutingTable(std::uint64_t version, const Configuration::Declaration &declaration);

    std::uint64_t version() const { return m_version; }

    /// Finds the team of a key by the SHA-256 of the key in hexadecimal digits.
    std::optional<Configuration::TeamDeclaration> findTeamByKeyDigest(
        const std::string &keyDigest) const;
    std::optional<Configuration::TeamDeclaration> findTeamById(const Base::TeamId &team) const;

    /// Finds the service that provides the model.
    std::optional<Configuration::ServiceDeclaration> findServiceByModel(
        const std::string &model) const;
    std::optional<Configuration::ServiceDeclaration> findService(
        const Base::ServiceName &name) const;
    std::vector<Base::ModelName> models() const;

private:
    std::uint64_t m_version = 0;
    std::vector<Configuration::TeamDeclaration> m_teams;
    std::vector<Configuration::ServiceDeclaration> m_services;
    std::unordered_map<std::string, std::size_t> m_teamsByKeyDigest;
    std::unordered_map<std::string, std::size_t> m_teamsById;
    std::unordered_map<std::string, std::size_t> m_servicesByModel;
    std::unordered_map<std::string, std::size_t> m_servicesByName;
};

/// Returns true when a call may be retried: as declared for its route, otherwise by the method
/// (RFC 9110, section 9.2.2).
bool isIdempotentCall(const Configuration::ServiceDeclaration &service, std::string_view method,
    std::string_view path);

} // namespace Carawaykeel::Fleet
