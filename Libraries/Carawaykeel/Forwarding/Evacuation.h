#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <cstdint>

namespace Carawaykeel::Forwarding {

/// Whether a data centre is evacuated, as of one version of the table service.
struct Evacuation
{
    Base::DataCentre dataCentre;
    std::uint64_t version = 0;
    bool isEvacuated = false;

    bool operator==(const Evacuation &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, version, isEvacuated);
    }
};

} // namespace Carawaykeel::Forwarding
