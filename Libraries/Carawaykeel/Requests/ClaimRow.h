#pragma once

#include <Carawaykeel/Base/InstanceId.h>

namespace Carawaykeel::Requests {

/// The right to run a non-idempotent request once, in the platform's table. The life that inserted
/// the row has it for ever: rows are not given up, since another claim could land in between.
struct ClaimRow
{
    Base::InstanceId owner;

    bool operator==(const ClaimRow &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(owner);
    }
};

} // namespace Carawaykeel::Requests
