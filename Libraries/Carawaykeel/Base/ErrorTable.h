#pragma once

#include <Carawaykeel/Base/ErrorKind.h>
#include <Carawaykeel/Base/Ran.h>

#include <span>
#include <string_view>

namespace Carawaykeel::Base {

/// How one kind of error is answered. The type follows the OpenAI-compatible error object.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    Ran ran;
    std::string_view type;
    std::string_view advice;
};

/// The answer for a kind; every kind has exactly one.
const ErrorAnswer &answerFor(ErrorKind kind);

/// The whole table in the order of the kinds, for the callers' page and the tests.
std::span<const ErrorAnswer> allErrorAnswers();

/// The word that goes into an answer's "ran" field.
std::string_view ranName(Ran ran);

} // namespace Carawaykeel::Base
