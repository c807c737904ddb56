#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Peer/PeerMessage.h>

namespace Carawaykeel::Peer {

/// Carries messages to other instances. A message may be lost, doubled, late or out of order; it is
/// never changed, and never reaches another life than the one named.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    virtual void send(const Base::InstanceId &to, PeerMessage message) = 0;
};

} // namespace Carawaykeel::Peer
