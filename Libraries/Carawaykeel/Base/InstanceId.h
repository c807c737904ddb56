#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <compare>
#include <cstdint>

namespace Carawaykeel::Base {

/// Identifies one incarnation of a process: the name from its settings and the incarnation number
/// generated at its start. A later incarnation of the same name has a greater number.
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
