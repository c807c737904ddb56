#pragma once

#include <Carawaykeel/Base/Failure.h>

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace Carawaykeel::Base {

/// The result of a call that can fail in one step. The error object it carries is a Failure.
template <typename T>
using Result = boost::leaf::result<T>;

/// Starts a failure upward.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Failure{kind, std::move(message), Milliseconds()});
}

/// What an asynchronous call answers in the end: a value, or the failure.
template <typename T>
using Outcome = std::variant<T, Failure>;

/// Runs a function that returns a Result and turns it into an Outcome, at the edges where results
/// cross to another thread or become an answer.
template <typename T, typename Function>
Outcome<T> toOutcome(Function &&function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome<T>> {
            BOOST_LEAF_AUTO(value, function());
            return Outcome<T>(std::move(value));
        },
        [](const Failure &failure) { return Outcome<T>(failure); },
        [] {
            return Outcome<T>(Failure{ErrorKind::Internal, "unnamed error", Milliseconds()});
        });
}

} // namespace Carawaykeel::Base
