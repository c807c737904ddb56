#pragma once

#include <Carawaykeel/Peer/PeerTransport.h>

#include <utility>
#include <vector>

namespace Carawaykeel::Tests {

/// Records the messages that are sent to other instances.
class RecordingTransport : public Peer::PeerTransport
{
public:
    void send(const Base::InstanceId &, Peer::PeerMessage message) override
    {
        messages.push_back(std::move(message));
    }

    std::vector<Peer::PeerMessage> messages;
};

} // namespace Carawaykeel::Tests
