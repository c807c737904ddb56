#pragma once

#include "PolicyScenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Benchmarks {

/// Simpler schemes for sharing a budget, for comparison with the router's policy. Each is a small
/// model that runs the same workload with the same faults. The models lose no messages, which
/// favours them in the comparison.
enum class Baseline {
    /// Each request takes its tokens in a transaction on the table.
    TransactionPerRequest,
    /// Each instance gets an equal share of the budget at the start.
    EqualSplit,
    /// An instance leases tokens for a minute and checks the expiry before it sends a request.
    ExpiringLeases,
};

/// Returns the name of the scheme in the printed table.
std::string nameOf(Baseline baseline);

/// Simulates a scenario with a baseline scheme and returns its figures.
PolicyFigures runBaseline(Baseline baseline, const PolicyScenario &scenario, std::uint64_t seed);

} // namespace Carawaykeel::Benchmarks
