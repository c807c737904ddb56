#pragma once

#include <cstdint>

namespace Carawaykeel::Budget {

/// Counters of a GrantHolder since its start.
struct GrantHolderCounters
{
    std::uint64_t reserved = 0;
    std::uint64_t refusedExhausted = 0;
    std::uint64_t refusedUnavailable = 0;
    std::uint64_t witnessLost = 0;
    std::uint64_t grantsTaken = 0;
    std::uint64_t recalls = 0;
    std::uint64_t flushes = 0;
};

} // namespace Carawaykeel::Budget
