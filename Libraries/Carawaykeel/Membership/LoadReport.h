#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <cstdint>

namespace Carawaykeel::Membership {

/// What an instance knows of the load of another.
struct LoadReport
{
    Base::InstanceName instance;
    /// Requests per second that it receives.
    std::uint32_t load = 0;
    /// Milliseconds since it reported this.
    std::uint32_t age = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(instance, load, age);
    }
};

} // namespace Carawaykeel::Membership
