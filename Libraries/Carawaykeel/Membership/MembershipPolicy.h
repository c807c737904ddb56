#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Membership {

/// Parameters of the membership protocol.
struct MembershipPolicy
{
    /// One member is probed in each period.
    Base::Milliseconds probePeriod{400};
    /// Time without an acknowledgement after which other members are requested to probe.
    Base::Milliseconds probeTimeout{120};
    /// Number of members that are requested to probe.
    std::size_t indirectProbeCount = 3;
    /// Time to refute a suspicion, after which the member counts as failed.
    Base::Milliseconds suspicionTimeout{2'000};
    /// Maximum number of member updates in one datagram; together with the sender they fit into one
    /// packet.
    std::size_t maxUpdatesPerMessage = 4;
    /// Maximum number of leaving servers in one datagram.
    std::size_t maxServersPerMessage = 8;
    /// Each update is sent this many times the binary logarithm of the number of members.
    std::size_t retransmitFactor = 3;
    /// Number of periods after its start in which a new instance requests member lists; after them
    /// it has joined. With updates piggybacked on probes alone it would take a minute to learn of
    /// all members of a large fleet.
    std::size_t joinPeriods = 5;
    /// Number of members that it requests a list from in each of these periods: replies get lost,
    /// and lists of other new instances may be incomplete.
    std::size_t joinRequestCount = 2;
    /// Anti-entropy: after joining, an instance requests one member list in this many periods, to
    /// recover lost updates. With more members than this, the number of members is used instead,
    /// since replies are then long.
    std::size_t antiEntropyPeriods = 25;
    /// Maximum number of members in one datagram of a member list; together with the sender they
    /// fit into one packet.
    std::size_t maxMembersPerMessage = 5;
    /// In one of this many periods a failed member or a seed is pinged, to reconnect after a
    /// network partition.
    std::size_t reconnectPeriods = 5;
    /// Maximum number of members that a backlog report is sent to; bounds the number of datagrams
    /// in a large fleet.
    std::size_t maxBacklogReceivers = 24;
    /// While a data centre is evacuated, one in this many probes is accompanied by a datagram with
    /// the evacuations. With every second one, an instance that missed the first datagrams gets
    /// about five more within the 5 s in which an evacuation must be in effect.
    std::size_t evacuationPeriods = 2;
    /// Number of other members from which on loads are passed on. Below, probes alone bring each
    /// member's load within a few seconds.
    std::size_t minMembersForLoadReports = 16;
    /// Maximum number of loads in one datagram; they fit into one packet.
    std::size_t maxLoadsPerMessage = 32;
    /// Number of random members that get loads in each probe period.
    std::size_t loadReportReceivers = 2;
};

} // namespace Carawaykeel::Membership
