#pragma once

namespace Carawaykeel::Base {

/// The closed list of everything that can go wrong, for callers, operators and peers alike. The
/// table in ErrorTable.h gives each its answer.
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
    ServerRefused,
    ServerConnectionLost,
    ServerTimeout,
    ResponseIncomplete,
    ResponseMismatch,
    ReservationExceeded,
    BillNotDurable,
    RequestRunning,
    RequestUncertain,
    RequestOutcomeLost,
    ClaimUnreachable,
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
