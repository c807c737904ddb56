#pragma once

namespace Carawaykeel::Tests {

/// A deliberate wrong variant of the system, switched on only to show that a check can fail.
enum class Mutation {
    None,
    /// Reservations count without the witness's record.
    NoWitness,
    /// A fenced witness goes on recording.
    NoFence,
    /// Writes of grants and budgets ignore the versions they expect.
    UnconditionalLedger,
    /// Claims are written without looking whether one is there.
    UnconditionalClaims,
    /// Bills are written whether one is there or not, each under a key of its own.
    DuplicateBills,
    /// The configuration's row is written whatever version it has.
    UnconditionalConfiguration,
    /// The table's clock never moves on.
    StoppedClock,
};

} // namespace Carawaykeel::Tests
