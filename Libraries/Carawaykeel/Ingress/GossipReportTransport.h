#pragma once

#include <Carawaykeel/Ingress/PromptReportTransport.h>
#include <Carawaykeel/Membership/Membership.h>

#include <limits>
#include <memory>

namespace Carawaykeel::Ingress {

/// Sends prompt reports as datagrams of the membership protocol.
class GossipReportTransport : public PromptReportTransport
{
public:
    /// Number of members that get a report which others relay too. Of a few hundred instances, one
    /// in a thousand stays without it.
    static constexpr std::size_t RelayCount = 8;

    /// `membership` must be set before the first report is sent.
    explicit GossipReportTransport(const std::unique_ptr<Membership::Membership> &membership)
        : m_membership(membership)
    {
    }

    void sendToAll(std::span<const Forwarding::PromptReport> reports) override
    {
        m_membership->sendPromptReports(reports, std::numeric_limits<std::size_t>::max());
    }
    void sendToSome(std::span<const Forwarding::PromptReport> reports) override
    {
        m_membership->sendPromptReports(reports, RelayCount);
    }
    void sendTo(
        const Base::InstanceName &to, std::span<const Forwarding::PromptReport> reports) override
    {
        m_membership->sendPromptReports(reports, to);
    }

private:
    const std::unique_ptr<Membership::Membership> &m_membership;
};

} // namespace Carawaykeel::Ingress
