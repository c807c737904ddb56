#pragma once

#include <Carawaykeel/Membership/GossipMessage.h>

#include <string_view>

namespace Carawaykeel::Membership {

/// Sends gossip datagrams, which may be lost, duplicated, delayed or reordered.
class GossipTransport
{
public:
    virtual ~GossipTransport() = default;

    /// Sends one datagram to an IP number and port.
    virtual void send(std::string_view address, const GossipMessage &message) = 0;
};

} // namespace Carawaykeel::Membership
