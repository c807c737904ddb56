#pragma once

#include <cstddef>

namespace Carawaykeel::Ingress {

/// The memory that this process really occupies, its allocator included.
class ResidentMemory
{
public:
    virtual ~ResidentMemory() = default;

    /// Returns the resident bytes, or 0 if the system does not tell them.
    virtual std::size_t bytes() = 0;

    /// Returns free memory of the allocator to the system.
    virtual void releaseFree() = 0;
};

} // namespace Carawaykeel::Ingress
