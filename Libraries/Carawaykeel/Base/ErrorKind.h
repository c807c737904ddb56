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
    SlowSender,
    TooManyConnections,
    WrongKey,
    NotAllowed,
    NotFound,
    MethodNotAllowed,
    UnknownModel,
    UnknownService,
    BudgetExhausted,
    BudgetUnreachable,
    MinuteCeiling,
    QueueFull,
    QueueDeadline,
    NoServer,
    ServerRefused,
    ServerBroke,
    ServerTimeout,
    AnswerIncomplete,
    AnswerCrossed,
    ReservationExceeded,
    BillNotSafe,
    RequestInProgress,
    RequestOutcomeUnknown,
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
