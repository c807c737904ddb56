#pragma once

#include <Carawaykeel/Membership/GossipMessage.h>

#include <string_view>

namespace Carawaykeel::Membership {

/// Sends datagrams; any may be lost, doubled, late or out of order.
class GossipTransport
{
public:
    virtual ~GossipTransport() = default;

    /// The address is an IP number and a port.
    virtual void send(std::string_view address, const GossipMessage &message) = 0;
};

} // namespace Carawaykeel::Membership
