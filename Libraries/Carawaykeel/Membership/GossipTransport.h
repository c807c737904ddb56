#pragma once

#include <Carawaykeel/Membership/GossipMessage.h>

#include <span>
#include <string_view>

namespace Carawaykeel::Membership {

/// Sends gossip datagrams, which may be lost, duplicated, delayed or reordered.
class GossipTransport
{
public:
    virtual ~GossipTransport() = default;

    /// Sends one datagram to an IP number and port.
    virtual void send(std::string_view address, const GossipMessage &message) = 0;

    /// Sends the same datagram to each address. Transports that encode messages encode it once.
    virtual void sendToAll(
        std::span<const std::string_view> addresses, const GossipMessage &message)
    {
        for (const auto address : addresses)
            send(address, message);
    }
};

} // namespace Carawaykeel::Membership
