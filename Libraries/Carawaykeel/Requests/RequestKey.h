#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <compare>

namespace Carawaykeel::Requests {

/// Names a request across retries: ids of different teams never meet.
struct RequestKey
{
    Base::TeamId team;
    Base::RequestId request;

    auto operator<=>(const RequestKey &) const = default;

    std::string claimRowKey() const { return "claim/" + team.text() + "/" + request.text(); }
};

} // namespace Carawaykeel::Requests
