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
    /// In one of this many periods a missed member or a seed is probed, so that cuts heal.
    std::size_t healEvery = 5;
    /// Members that are told at most where prompts are being read; bounds the datagrams of a large
    /// fleet.
    std::size_t backlogReceivers = 24;
};

} // namespace Carawaykeel::Membership
