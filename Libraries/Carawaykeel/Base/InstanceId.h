#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <compare>
#include <cstdint>

namespace Carawaykeel::Base {

/// One life of one process: the name from its settings and the incarnation it drew at its start.
/// A later life of the same name has a greater incarnation.
struct InstanceId
{
    InstanceName name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const InstanceId &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation);
    }
};

} // namespace Carawaykeel::Base
