#pragma once

#include <Carawaykeel/Forwarding/Evacuation.h>
#include <Carawaykeel/Forwarding/PromptReport.h>
#include <Carawaykeel/Forwarding/ServerBacklog.h>
#include <Carawaykeel/Membership/LoadReport.h>
#include <Carawaykeel/Membership/Member.h>

#include <cstdint>
#include <vector>

namespace Carawaykeel::Membership {

/// The type of a gossip datagram.
enum class GossipKind : std::uint8_t {
    Ping,
    Acknowledge,
    /// Requests an indirect probe: the receiver pings the target and relays the acknowledgement.
    PingRequest,
    /// Reports the unprocessed prompt tokens of the sender's requests at servers; gets no reply.
    Backlogs,
    /// Requests all members that the receiver knows.
    MemberListRequest,
    /// Some of the members that the sender knows, in reply to MemberListRequest.
    MemberList,
    /// Reports prompt parts that crash servers; gets no reply.
    PromptReports,
    /// Reports the data centres that are or were evacuated. The receiver replies with a message of
    /// the same kind only if it knows of a newer state.
    Evacuations,
    /// Reports the loads of members that the sender knows; gets no reply.
    Loads,
};

/// A gossip datagram. Each carries the sender, its configuration version and piggybacked updates.
struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::uint64_t sequence = 0;
    Member sender;
    /// The member to probe; set in a PingRequest.
    Base::InstanceName target;
    std::uint64_t configurationVersion = 0;
    /// Requests per second that the sender receives.
    std::uint32_t load = 0;
    std::vector<Member> updates;
    std::vector<Base::ServerName> leavingServers;
    std::vector<Forwarding::ServerBacklog> backlogs;
    /// Present only in PromptReports, which instances of earlier versions ignore.
    std::vector<Forwarding::PromptReport> promptReports = {};
    /// Present only in Evacuations, which instances of earlier versions ignore.
    std::vector<Forwarding::Evacuation> evacuations = {};
    /// Present only in Loads, which instances of earlier versions ignore.
    std::vector<LoadReport> loads = {};

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, sequence, sender, target, configurationVersion, load, updates, leavingServers,
            backlogs);
        if (kind == GossipKind::PromptReports)
            archive(promptReports);
        if (kind == GossipKind::Evacuations)
            archive(evacuations);
        if (kind == GossipKind::Loads)
            archive(loads);
    }
};

} // namespace Carawaykeel::Membership
