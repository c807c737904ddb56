#pragma once

#include <Carawaykeel/Ingress/ResidentMemory.h>

namespace Carawaykeel::Ingress {

/// Resident memory of this process, from /proc/self/statm.
class ProcessMemory : public ResidentMemory
{
public:
    ProcessMemory();
    ~ProcessMemory() override;

    ProcessMemory(const ProcessMemory &) = delete;
    ProcessMemory &operator=(const ProcessMemory &) = delete;

    /// Makes the allocator return large blocks to the system when they are freed. Call before other
    /// threads are started.
    static void configureAllocator();

    std::size_t bytes() override;
    void releaseFree() override;

private:
    /// Stays open, so that memory can be measured when no descriptor is left.
    const int m_descriptor;
};

} // namespace Carawaykeel::Ingress
