#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Membership {

/// The state of an instance in the failure detector of the others.
enum class MemberState : std::uint8_t {
    Alive,
    /// A probe went unanswered; the member may still refute the suspicion.
    Suspect,
    /// Not refuted within the suspicion timeout. The member may be dead, paused or partitioned.
    Failed,
};

/// What the other instances know about one instance.
struct Member
{
    Base::InstanceId id;
    Base::DataCentre dataCentre;
    /// The platform's name for the VM that this incarnation runs on.
    std::string vm;
    /// IP number and port of the datagram socket.
    std::string gossipAddress;
    /// IP number and port for peer messages.
    std::string peerAddress;
    /// IP number and port that callers connect to.
    std::string callerAddress;
    /// IP number and port that operators connect to.
    std::string operatorAddress;
    MemberState state = MemberState::Alive;
    /// Incremented when the member refutes a suspicion or announces that it is leaving.
    std::uint32_t refutationCount = 0;
    /// Requests per second that the VM can carry; 0 if unknown.
    std::uint32_t capacity = 0;
    /// Set while the member shuts down: callers are no longer directed to it.
    bool isLeaving = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, dataCentre, vm, gossipAddress, peerAddress, callerAddress, operatorAddress,
            state, refutationCount, capacity, isLeaving);
    }
};

} // namespace Carawaykeel::Membership
