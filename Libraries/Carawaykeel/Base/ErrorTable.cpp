#include <Carawaykeel/Base/ErrorTable.h>

#include <Carawaykeel/Base/Verify.h>

#include <algorithm>
#include <array>

namespace Carawaykeel::Base {

namespace {

constexpr std::string_view InvalidRequest = "invalid_request_error";
constexpr std::string_view Quota = "insufficient_quota";
constexpr std::string_view RateLimit = "rate_limit_error";
constexpr std::string_view Unavailable = "service_unavailable";
constexpr std::string_view ServerError = "server_error";

constexpr std::array Responses{
    ErrorResponse{ErrorKind::MalformedRequest, "malformed_request", 400,
        ExecutionStatus::NotExecuted, InvalidRequest, "mend the request"},
    ErrorResponse{ErrorKind::MalformedJson, "malformed_json", 400, ExecutionStatus::NotExecuted,
        InvalidRequest, "mend the body"},
    ErrorResponse{ErrorKind::MalformedPeerMessage, "malformed_peer_message", 400,
        ExecutionStatus::NotExecuted, InvalidRequest, "check the sender's version"},
    ErrorResponse{ErrorKind::HeadersTooLarge, "headers_too_large", 431,
        ExecutionStatus::NotExecuted, InvalidRequest, "send fewer or shorter headers"},
    ErrorResponse{ErrorKind::BodyTooLarge, "body_too_large", 413, ExecutionStatus::NotExecuted,
        InvalidRequest, "send a shorter body"},
    ErrorResponse{ErrorKind::RequestReadTimeout, "slow_sender", 408, ExecutionStatus::NotExecuted,
        InvalidRequest, "send the whole request sooner"},
    ErrorResponse{ErrorKind::TooManyConnections, "too_many_connections", 503,
        ExecutionStatus::NotExecuted, Unavailable, "try another address"},
    ErrorResponse{ErrorKind::InvalidKey, "wrong_key", 401, ExecutionStatus::NotExecuted,
        "authentication_error", "check the key"},
    ErrorResponse{ErrorKind::Forbidden, "not_allowed", 403, ExecutionStatus::NotExecuted,
        "permission_error", "ask the operators"},
    ErrorResponse{ErrorKind::NotFound, "not_found", 404, ExecutionStatus::NotExecuted,
        InvalidRequest, "check the path"},
    ErrorResponse{ErrorKind::MethodNotAllowed, "method_not_allowed", 405,
        ExecutionStatus::NotExecuted, InvalidRequest, "check the method"},
    ErrorResponse{ErrorKind::UnknownModel, "model_not_found", 404, ExecutionStatus::NotExecuted,
        InvalidRequest, "ask GET /v1/models"},
    ErrorResponse{ErrorKind::UnknownService, "unknown_service", 404, ExecutionStatus::NotExecuted,
        InvalidRequest, "check the service's name"},
    ErrorResponse{ErrorKind::BudgetExhausted, "budget_exhausted", 429, ExecutionStatus::NotExecuted,
        Quota, "top up the budget"},
    ErrorResponse{ErrorKind::BudgetUnavailable, "budget_unreachable", 503,
        ExecutionStatus::NotExecuted, Unavailable, "retry at another address"},
    ErrorResponse{ErrorKind::RateLimitExceeded, "minute_ceiling", 429, ExecutionStatus::NotExecuted,
        RateLimit, "retry after the time given"},
    ErrorResponse{ErrorKind::QueueFull, "queue_full", 503, ExecutionStatus::NotExecuted,
        Unavailable, "retry after the time given"},
    ErrorResponse{ErrorKind::QueueTimeout, "queue_deadline", 503, ExecutionStatus::NotExecuted,
        Unavailable, "retry after the time given"},
    ErrorResponse{ErrorKind::NoServerAvailable, "no_server", 503, ExecutionStatus::NotExecuted,
        Unavailable, "retry after the time given"},
    ErrorResponse{ErrorKind::PromptQuarantined, "prompt_quarantined", 503,
        ExecutionStatus::NotExecuted, Unavailable,
        "change the prompt: requests with one of its parts crash servers"},
    ErrorResponse{ErrorKind::MemoryFull, "memory_full", 503, ExecutionStatus::NotExecuted,
        Unavailable, "retry at another address"},
    ErrorResponse{ErrorKind::ServerRefused, "server_refused", 502, ExecutionStatus::NotExecuted,
        ServerError, "retry"},
    ErrorResponse{ErrorKind::ServerFailed, "server_broke", 502, ExecutionStatus::Unknown,
        ServerError, "retry with the same key only if the request is idempotent"},
    ErrorResponse{ErrorKind::ServerTimeout, "server_timeout", 504, ExecutionStatus::Unknown,
        ServerError, "retry with the same key only if the request is idempotent"},
    ErrorResponse{ErrorKind::ResponseIncomplete, "answer_incomplete", 502,
        ExecutionStatus::Executed, ServerError,
        "retry with the same key only if the request is idempotent"},
    ErrorResponse{ErrorKind::ResponseMismatch, "answer_crossed", 502, ExecutionStatus::Unknown,
        ServerError, "retry with the same key only if the request is idempotent"},
    ErrorResponse{ErrorKind::ReservationExceeded, "reservation_exceeded", 502,
        ExecutionStatus::Executed, ServerError, "raise max_tokens"},
    ErrorResponse{ErrorKind::BillNotDurable, "bill_not_safe", 502, ExecutionStatus::Executed,
        Unavailable, "retry later with the same key"},
    ErrorResponse{ErrorKind::RequestInProgress, "request_running", 409, ExecutionStatus::Unknown,
        Unavailable, "ask again later with the same key"},
    ErrorResponse{ErrorKind::RequestOutcomeUnknown, "request_uncertain", 409,
        ExecutionStatus::Unknown, Unavailable, "ask the service whether the request took effect"},
    ErrorResponse{ErrorKind::RequestOutcomeLost, "request_outcome_lost", 409,
        ExecutionStatus::Unknown, Unavailable, "ask the service whether the request took effect"},
    ErrorResponse{ErrorKind::ClaimUnavailable, "claim_unreachable", 503,
        ExecutionStatus::NotExecuted, Unavailable, "use an id from GET /v1/entry, or retry later"},
    ErrorResponse{ErrorKind::ShuttingDown, "shutting_down", 503, ExecutionStatus::NotExecuted,
        Unavailable, "retry at another address"},
    ErrorResponse{ErrorKind::Starting, "starting", 503, ExecutionStatus::NotExecuted, Unavailable,
        "retry at another address"},
    ErrorResponse{ErrorKind::InvalidSettings, "invalid_settings", 422, ExecutionStatus::NotExecuted,
        InvalidRequest, "mend the settings file"},
    ErrorResponse{ErrorKind::InvalidDeclaration, "invalid_declaration", 422,
        ExecutionStatus::NotExecuted, InvalidRequest, "mend the declaration"},
    ErrorResponse{ErrorKind::VersionConflict, "version_conflict", 409, ExecutionStatus::NotExecuted,
        InvalidRequest, "run diff against the winning version"},
    ErrorResponse{ErrorKind::PlatformUnreachable, "platform_unreachable", 504,
        ExecutionStatus::Unknown, Unavailable, "retry with the same operation id"},
    ErrorResponse{ErrorKind::InstanceUnreachable, "instance_unreachable", 504,
        ExecutionStatus::Unknown, Unavailable, "retry at another instance"},
    ErrorResponse{ErrorKind::Internal, "internal", 500, ExecutionStatus::Unknown, ServerError,
        "report it with the instance's dump"},
};

static_assert(Responses.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

constexpr bool isPromiseKept(const ErrorResponse &response)
{
    return !promisesNotExecuted(response.httpStatus)
        || response.executionStatus == ExecutionStatus::NotExecuted;
}

static_assert(std::ranges::all_of(Responses, isPromiseKept),
    "a status that promises that a request was not executed is used for no other error");

} // namespace

const ErrorResponse &errorResponseFor(ErrorKind kind)
{
    const auto &response = Responses.at(static_cast<std::size_t>(kind));
    verify(response.kind == kind, "the error table is in the order of ErrorKind");
    return response;
}

std::span<const ErrorResponse> allErrorResponses()
{
    return Responses;
}

std::string_view executionStatusName(ExecutionStatus status)
{
    switch (status) {
    case ExecutionStatus::NotExecuted:
        return "no";
    case ExecutionStatus::Executed:
        return "yes";
    case ExecutionStatus::Unknown:
        break;
    }
    return "maybe";
}

} // namespace Carawaykeel::Base
