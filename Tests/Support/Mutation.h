#pragma once

namespace Carawaykeel::Tests {

/// A deliberate defect of the system, enabled only to show that a check detects it.
enum class Mutation {
    None,
    /// Reservations are accepted without a record at the witness.
    NoWitness,
    /// A witness accepts reservations of a fenced grant.
    NoFence,
    /// Writes of grants, budgets and allotments ignore the expected versions.
    UnconditionalLedger,
    /// Claims overwrite existing claims.
    UnconditionalClaims,
    /// Each bill is written under a unique key, so that a second bill of a request does not
    /// conflict.
    DuplicateBills,
    /// Writes of the configuration's row ignore the expected version.
    UnconditionalConfiguration,
    /// The table's clock does not advance.
    StoppedClock,
};

} // namespace Carawaykeel::Tests
