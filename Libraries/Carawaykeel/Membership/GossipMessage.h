#pragma once

#include <Carawaykeel/Forwarding/ServerBacklog.h>
#include <Carawaykeel/Membership/Member.h>

#include <cstdint>
#include <vector>

namespace Carawaykeel::Membership {

/// What a datagram between instances asks or answers.
enum class GossipKind : std::uint8_t {
    Ping,
    Acknowledge,
    /// Asks the receiver to ping the target for the sender.
    PingRequest,
    /// Tells what the sender's requests have yet to be read at servers; needs no answer.
    Backlogs,
    /// Asks the receiver for all members that it knows.
    AskMembers,
    /// Some of the members that the sender knows, in answer to AskMembers.
    Members,
};

/// One datagram. Each carries the sender, the version of its configuration and some news.
struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::uint64_t sequence = 0;
    Member sender;
    /// The member to probe, for a ping request.
    Base::InstanceName target;
    std::uint64_t configurationVersion = 0;
    std::vector<Member> updates;
    /// Backend servers that are leaving.
    std::vector<Base::ServerName> leavingServers;
    std::vector<Forwarding::ServerBacklog> backlogs;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, sequence, sender, target, configurationVersion, updates, leavingServers,
            backlogs);
    }
};

} // namespace Carawaykeel::Membership
