#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Base/ExecutionStatus.h>

#include <span>
#include <string_view>

namespace Carawaykeel::Base {

/// The response to one kind of error. The type follows the OpenAI-compatible error object.
struct ErrorResponse
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    ExecutionStatus executionStatus;
    std::string_view type;
    std::string_view advice;
};

/// Returns the response to a kind of error; every kind has exactly one.
const ErrorResponse &errorResponseFor(ErrorKind kind);

/// Returns the whole table in the order of ErrorKind.
std::span<const ErrorResponse> allErrorResponses();

/// Returns true if callers take the status as a promise that their request was not executed and
/// never will be, so that they repeat also a request that may run only once.
constexpr bool promisesNotExecuted(int httpStatus)
{
    constexpr int RequestTimeout = 408;
    constexpr int MisdirectedRequest = 421;
    constexpr int TooManyRequests = 429;
    constexpr int ServiceUnavailable = 503;
    return httpStatus == RequestTimeout || httpStatus == MisdirectedRequest
        || httpStatus == TooManyRequests || httpStatus == ServiceUnavailable;
}

/// Returns the value of the "ran" field in an error response.
std::string_view executionStatusName(ExecutionStatus status);

} // namespace Carawaykeel::Base
