#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <compare>

namespace Carawaykeel::Requests {

/// Identifies a request across retries. Ids of different teams never collide.
struct RequestKey
{
    Base::TeamId team;
    Base::RequestId request;

    auto operator<=>(const RequestKey &) const = default;

    std::string claimRowKey() const { return "claim/" + team.text() + "/" + request.text(); }
};

} // namespace Carawaykeel::Requests
