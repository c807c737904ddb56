#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Membership {

/// The dials of the probing between instances.
struct MembershipPolicy
{
    /// One member is probed in each period.
    Base::Milliseconds probePeriod{400};
    /// How long a direct probe is waited for before others are asked to probe.
    Base::Milliseconds probeTimeout{120};
    /// How many others are asked.
    std::size_t indirectProbes = 3;
    /// How long a suspicion may be refuted before the member counts as missed.
    Base::Milliseconds suspicionTimeout{2'000};
    /// News about members in one datagram at most; with the sender this stays below one packet.
    std::size_t newsPerMessage = 4;
    /// News about leaving servers in one datagram at most.
    std::size_t serversPerMessage = 8;
    /// Each piece of news is sent this many times the binary logarithm of the members' number.
    std::size_t newsFactor = 3;
    /// A new instance asks others for all members in each of its first periods, until it has joined
    /// after this many. News that ride on probes would take a minute to tell it of a large fleet.
    std::size_t joinPeriods = 5;
    /// How many it asks in each of them; answers get lost, and may be as incomplete.
    std::size_t joinFanOut = 2;
    /// Later it asks one in this many periods, so that lost news are made good; in as many periods
    /// as there are members if that is rarer, as then answers are long.
    std::size_t syncEvery = 25;
    /// Members in one datagram of such an answer; with the sender it stays below one packet.
    std::size_t membersPerMessage = 5;
    /// In one of this many periods a missed member or a seed is probed, so that cuts heal.
    std::size_t healEvery = 5;
    /// Members that are told at most where prompts are being read; bounds the datagrams of a large
    /// fleet.
    std::size_t backlogReceivers = 24;
};

} // namespace Carawaykeel::Membership
