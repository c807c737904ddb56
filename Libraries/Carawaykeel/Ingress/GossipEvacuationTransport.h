#pragma once

#include <Carawaykeel/Ingress/EvacuationTransport.h>
#include <Carawaykeel/Membership/Membership.h>

#include <cstddef>
#include <memory>

namespace Carawaykeel::Ingress {

/// Sends evacuations as datagrams of the membership protocol.
class GossipEvacuationTransport : public EvacuationTransport
{
public:
    /// Number of members that get an evacuation which they relay too. Of a few hundred instances,
    /// about one stays without it until the next probes.
    static constexpr std::size_t RelayCount = 6;

    /// `membership` must be set before the first evacuation is sent.
    explicit GossipEvacuationTransport(const std::unique_ptr<Membership::Membership> &membership)
        : m_membership(membership)
    {
    }

    void sendToSome(std::span<const Forwarding::Evacuation> evacuations) override
    {
        m_membership->sendEvacuations(evacuations, RelayCount);
    }
    void sendTo(
        const Base::InstanceName &to, std::span<const Forwarding::Evacuation> evacuations) override
    {
        m_membership->sendEvacuations(evacuations, to);
    }

private:
    const std::unique_ptr<Membership::Membership> &m_membership;
};

} // namespace Carawaykeel::Ingress
