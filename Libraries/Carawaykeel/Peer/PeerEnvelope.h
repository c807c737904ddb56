#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Peer/PeerMessage.h>

namespace Carawaykeel::Peer {

/// A message with its sender and the life of the instance that it is meant for. An incarnation of
/// zero means whichever life is there.
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
