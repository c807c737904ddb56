#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Base/ExecutionStatus.h>

#include <span>
#include <string_view>

namespace Carawaykeel::Base {

/// How one kind of error is answered. The type follows the OpenAI-compatible error object.
struct ErrorResponse
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    ExecutionStatus executionStatus;
    std::string_view type;
    std::string_view advice;
};

/// The answer for a kind; every kind has exactly one.
const ErrorResponse &errorResponseFor(ErrorKind kind);

/// The whole table in the order of the kinds, for the callers' page and the tests.
std::span<const ErrorResponse> allErrorResponses();

/// The word that goes into an answer's "ran" field.
std::string_view executionStatusName(ExecutionStatus ran);

} // namespace Carawaykeel::Base
