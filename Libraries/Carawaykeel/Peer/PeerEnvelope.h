#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Peer/PeerMessage.h>

namespace Carawaykeel::Peer {

/// A message with its sender and the incarnation that it is addressed to. An incarnation of zero
/// means any incarnation of the instance.
struct PeerEnvelope
{
    Base::InstanceId from;
    Base::InstanceId to;
    PeerMessage message;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, message);
    }
};

} // namespace Carawaykeel::Peer
