#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Configuration {

/// The configuration in force, one row in the platform's table, moved only by compare-and-set.
struct ConfigurationRow
{
    std::uint64_t version = 0;
    /// Names the operator's change, so that a lost answer can be settled.
    Base::OperationId operation;
    std::string document;

    static std::string rowKey() { return "configuration/current"; }
    /// Says which version an operation became, for as long as the platform keeps it.
    static std::string operationKey(const Base::OperationId &operation)
    {
        return "operation/" + operation.text();
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version, operation, document);
    }
};

} // namespace Carawaykeel::Configuration
