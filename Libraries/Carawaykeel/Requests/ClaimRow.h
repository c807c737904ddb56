#pragma once

#include <Carawaykeel/Base/InstanceId.h>

namespace Carawaykeel::Requests {

/// The right to run a non-idempotent request once, stored in the platform's table. The incarnation
/// that inserted the row has it permanently: rows are never deleted, since a delayed claim of
/// another instance could be committed in between.
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
