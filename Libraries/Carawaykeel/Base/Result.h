#pragma once

#include <Carawaykeel/Base/Failure.h>

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace Carawaykeel::Base {

/// The result of a synchronous call that can fail. Its error object is a Failure.
template <typename T>
using Result = boost::leaf::result<T>;

/// Creates a Failure that a function returns as its Result.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Failure{kind, std::move(message), Milliseconds()});
}

/// The result that an asynchronous call passes to its callback: a value or a Failure.
template <typename T>
using Outcome = std::variant<T, Failure>;

/// Calls a function that returns a Result and converts it to an Outcome, for results that go to
/// another thread or into a response.
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
