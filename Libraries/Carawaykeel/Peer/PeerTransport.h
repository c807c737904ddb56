#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Peer/PeerMessage.h>

namespace Carawaykeel::Peer {

/// Sends messages to other instances. A message may be lost, duplicated, delayed or reordered; it
/// is never modified and never delivered to another incarnation than the one addressed.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    virtual void send(const Base::InstanceId &to, PeerMessage message) = 0;
};

} // namespace Carawaykeel::Peer
