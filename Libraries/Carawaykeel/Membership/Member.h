#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Membership {

/// How an instance is seen by the others.
enum class MemberState : std::uint8_t {
    Alive,
    /// A probe was missed; the member may still refute it.
    Suspect,
    /// Missed for the whole suspicion time. It may be dead, paused or cut off.
    Failed,
};

/// One instance as the others know it.
struct Member
{
    Base::InstanceId id;
    Base::DataCentre dataCentre;
    /// The platform's name of the VM that this life runs on.
    std::string vm;
    /// IP number and port of the datagram socket.
    std::string gossipAddress;
    /// IP number and port for messages of instances.
    std::string peerAddress;
    /// IP number and port that callers connect to.
    std::string callerAddress;
    /// IP number and port that operators connect to.
    std::string operatorAddress;
    MemberState state = MemberState::Alive;
    /// Grows when the member refutes a suspicion.
    std::uint32_t refutation = 0;
    /// Set while the member shuts down: callers are not sent to it any more.
    bool isLeaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, dataCentre, vm, gossipAddress, peerAddress, callerAddress, operatorAddress,
            state, refutation, isLeaving);
    }
};

} // namespace Carawaykeel::Membership
