#pragma once

#include "PolicyScenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// Simpler ways to share a budget, measured beside the project's own. Each is a small model of its
/// own with the same requests and the same trouble; it has no messages that can be lost, which is
/// to its favour.
enum class Baseline {
    /// A table transaction for each request.
    TransactionEach,
    /// Every instance gets an equal part once.
    EqualSplit,
    /// Leases of a minute's use that end by the clock; who holds one checks it before it sends.
    ExpiringLeases,
};

std::string nameOf(Baseline baseline);

PolicyFigures runBaseline(Baseline baseline, const PolicyScenario &scenario, std::uint64_t seed);

} // namespace Carawaykeel::Benchmarks
