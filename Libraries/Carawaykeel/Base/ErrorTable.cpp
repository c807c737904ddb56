#include <Carawaykeel/Base/ErrorTable.h>

#include <Carawaykeel/Base/Verify.h>

#include <array>

namespace Carawaykeel::Base {

namespace {

constexpr std::string_view InvalidRequest = "invalid_request_error";
constexpr std::string_view Quota = "insufficient_quota";
constexpr std::string_view RateLimit = "rate_limit_error";
constexpr std::string_view Unavailable = "service_unavailable";
constexpr std::string_view ServerError = "server_error";

constexpr std::array Responses{
    ErrorAnswer{ErrorKind::MalformedRequest, "malformed_request", 400, Ran::No, InvalidRequest,
        "mend the request"},
    ErrorAnswer{
        ErrorKind::MalformedJson, "malformed_json", 400, Ran::No, InvalidRequest, "mend the body"},
    ErrorAnswer{ErrorKind::MalformedPeerMessage, "malformed_peer_message", 400, Ran::No,
        InvalidRequest, "check the sender's version"},
    ErrorAnswer{ErrorKind::HeadersTooLarge, "headers_too_large", 431, Ran::No, InvalidRequest,
        "send fewer or shorter headers"},
    ErrorAnswer{ErrorKind::BodyTooLarge, "body_too_large", 413, Ran::No, InvalidRequest,
        "send a shorter body"},
    ErrorAnswer{ErrorKind::SlowSender, "slow_sender", 408, Ran::No, InvalidRequest,
        "send the whole request sooner"},
    ErrorAnswer{ErrorKind::TooManyConnections, "too_many_connections", 503, Ran::No, Unavailable,
        "try another address"},
    ErrorAnswer{
        ErrorKind::WrongKey, "wrong_key", 401, Ran::No, "authentication_error", "check the key"},
    ErrorAnswer{ErrorKind::NotAllowed, "not_allowed", 403, Ran::No, "permission_error",
        "ask the operators"},
    ErrorAnswer{ErrorKind::NotFound, "not_found", 404, Ran::No, InvalidRequest, "check the path"},
    ErrorAnswer{ErrorKind::MethodNotAllowed, "method_not_allowed", 405, Ran::No, InvalidRequest,
        "check the method"},
    ErrorAnswer{ErrorKind::UnknownModel, "model_not_found", 404, Ran::No, InvalidRequest,
        "ask GET /v1/models"},
    ErrorAnswer{ErrorKind::UnknownService, "unknown_service", 404, Ran::No, InvalidRequest,
        "check the service's name"},
    ErrorAnswer{
        ErrorKind::BudgetExhausted, "budget_exhausted", 429, Ran::No, Quota, "top up the budget"},
    ErrorAnswer{ErrorKind::BudgetUnreachable, "budget_unreachable", 503, Ran::No, Unavailable,
        "retry at another address"},
    ErrorAnswer{ErrorKind::MinuteCeiling, "minute_ceiling", 429, Ran::No, RateLimit,
        "retry after the time given"},
    ErrorAnswer{ErrorKind::QueueFull, "queue_full", 503, Ran::No, Unavailable,
        "retry after the time given"},
    ErrorAnswer{ErrorKind::QueueDeadline, "queue_deadline", 503, Ran::No, Unavailable,
        "retry after the time given"},
    ErrorAnswer{
        ErrorKind::NoServer, "no_server", 503, Ran::No, Unavailable, "retry after the time given"},
    ErrorAnswer{ErrorKind::ServerRefused, "server_refused", 502, Ran::No, ServerError, "retry"},
    ErrorAnswer{ErrorKind::ServerBroke, "server_broke", 502, Ran::Maybe, ServerError,
        "retry with the same key only if the request is idempotent"},
    ErrorAnswer{ErrorKind::ServerTimeout, "server_timeout", 504, Ran::Maybe, ServerError,
        "retry with the same key only if the request is idempotent"},
    ErrorAnswer{ErrorKind::AnswerIncomplete, "answer_incomplete", 502, Ran::Yes, ServerError,
        "retry with the same key only if the request is idempotent"},
    ErrorAnswer{ErrorKind::AnswerCrossed, "answer_crossed", 502, Ran::Maybe, ServerError,
        "retry with the same key only if the request is idempotent"},
    ErrorAnswer{ErrorKind::ReservationExceeded, "reservation_exceeded", 502, Ran::Yes, ServerError,
        "raise max_tokens"},
    ErrorAnswer{ErrorKind::BillNotSafe, "bill_not_safe", 503, Ran::Yes, Unavailable,
        "retry later with the same key"},
    ErrorAnswer{ErrorKind::RequestInProgress, "request_running", 409, Ran::Maybe, Unavailable,
        "ask again later with the same key"},
    ErrorAnswer{ErrorKind::RequestOutcomeUnknown, "request_uncertain", 409, Ran::Maybe, Unavailable,
        "ask the service whether the request took effect"},
    ErrorAnswer{ErrorKind::RequestOutcomeLost, "request_outcome_lost", 409, Ran::Maybe, Unavailable,
        "ask the service whether the request took effect"},
    ErrorAnswer{ErrorKind::ClaimUnreachable, "claim_unreachable", 503, Ran::No, Unavailable,
        "use an id from GET /v1/entry, or retry later"},
    ErrorAnswer{ErrorKind::ShuttingDown, "shutting_down", 503, Ran::No, Unavailable,
        "retry at another address"},
    ErrorAnswer{
        ErrorKind::Starting, "starting", 503, Ran::No, Unavailable, "retry at another address"},
    ErrorAnswer{ErrorKind::InvalidSettings, "invalid_settings", 422, Ran::No, InvalidRequest,
        "mend the settings file"},
    ErrorAnswer{ErrorKind::InvalidDeclaration, "invalid_declaration", 422, Ran::No, InvalidRequest,
        "mend the declaration"},
    ErrorAnswer{ErrorKind::VersionConflict, "version_conflict", 409, Ran::No, InvalidRequest,
        "run diff against the winning version"},
    ErrorAnswer{ErrorKind::PlatformUnreachable, "platform_unreachable", 503, Ran::Maybe,
        Unavailable, "retry with the same operation id"},
    ErrorAnswer{ErrorKind::InstanceUnreachable, "instance_unreachable", 503, Ran::Maybe,
        Unavailable, "retry at another instance"},
    ErrorAnswer{ErrorKind::Internal, "internal", 500, Ran::Maybe, ServerError,
        "report it with the instance's dump"},
};

static_assert(Responses.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    const auto &response = Responses.at(static_cast<std::size_t>(kind));
    verify(response.kind == kind, "the error table is in the order of ErrorKind");
    return response;
}

std::span<const ErrorAnswer> allErrorAnswers()
{
    return Responses;
}

std::string_view ranName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Maybe:
        break;
    }
    return "maybe";
}

} // namespace Carawaykeel::Base
