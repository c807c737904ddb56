#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Configuration {

/// The current configuration: one row in the table service, updated only by compare-and-set.
struct ConfigurationRow
{
    std::uint64_t version = 0;
    /// Id of the operator's change, so that a retry after a lost reply finds its outcome.
    Base::OperationId operation;
    std::string document;

    static std::string rowKey() { return "configuration/current"; }
    /// Key of the row that records which version an operation produced. The row exists as long as
    /// the table service keeps it.
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
