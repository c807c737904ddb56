#pragma once

namespace Carawaykeel::Base {

/// All kinds of errors, for callers, operators and peers alike. The table in ErrorTable.h maps each
/// kind to its response.
enum class ErrorKind {
    MalformedRequest,
    MalformedJson,
    MalformedPeerMessage,
    HeadersTooLarge,
    BodyTooLarge,
    RequestReadTimeout,
    TooManyConnections,
    InvalidKey,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    UnknownModel,
    UnknownService,
    BudgetExhausted,
    BudgetUnavailable,
    RateLimitExceeded,
    QueueFull,
    QueueTimeout,
    NoServerAvailable,
    PromptQuarantined,
    MemoryFull,
    ServerRefused,
    ServerFailed,
    ServerTimeout,
    ResponseIncomplete,
    ResponseMismatch,
    ReservationExceeded,
    BillNotDurable,
    RequestInProgress,
    RequestOutcomeUnknown,
    RequestOutcomeLost,
    ClaimUnavailable,
    ShuttingDown,
    Starting,
    InvalidSettings,
    InvalidDeclaration,
    VersionConflict,
    PlatformUnreachable,
    InstanceUnreachable,
    Internal,
};

} // namespace Carawaykeel::Base
