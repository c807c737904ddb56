// The part of Membership that exchanges the members' loads.
#include <Carawaykeel/Membership/Membership.h>

#include <algorithm>

namespace Carawaykeel::Membership {

namespace {

/// A load that is older counts as unknown.
constexpr Base::Milliseconds LoadLifetime{5'000};
/// Older reports are not passed on: fresher ones of the same members are on their way.
constexpr Base::Milliseconds MaxRelayedAge{3'000};

} // namespace

void Membership::recordLoad(
    const Base::InstanceName &name, std::uint32_t load, Base::Milliseconds reportedAt)
{
    if (name == m_self.id.name)
        return;
    auto &known = m_loads[name];
    if (reportedAt >= known.receivedAt)
        known = {load, reportedAt};
}

std::optional<std::uint32_t> Membership::loadOf(const Base::InstanceName &name) const
{
    if (name == m_self.id.name)
        return m_load;
    const auto it = m_loads.find(name);
    const bool isKnown =
        it != m_loads.end() && m_scheduler.now() - it->second.receivedAt < LoadLifetime;
    return isKnown ? std::optional(it->second.load) : std::nullopt;
}

void Membership::onLoadReports(std::span<const LoadReport> reports)
{
    const auto now = m_scheduler.now();
    for (const auto &report : reports) {
        const Base::Milliseconds age(report.age);
        if (age < LoadLifetime && m_members.contains(report.instance))
            recordLoad(report.instance, report.load, now - age);
    }
}

void Membership::relayLoads()
{
    // In a small fleet, each member is heard of often enough by itself.
    if (m_members.size() < m_policy.minMembersForLoadReports)
        return;
    const auto now = m_scheduler.now();
    std::vector<LoadReport> reports;
    bool isIdle = m_load == 0;
    for (const auto &[name, known] : m_loads) {
        if (now - known.receivedAt >= MaxRelayedAge)
            continue;
        isIdle = isIdle && known.load == 0;
        reports.push_back(
            {name, known.load, static_cast<std::uint32_t>((now - known.receivedAt).count())});
    }
    if (isIdle)
        return;
    std::ranges::shuffle(reports, m_random);
    reports.resize(std::min(reports.size(), m_policy.maxLoadsPerMessage));
    GossipMessage message{GossipKind::Loads, 0, m_self, {}, m_configurationVersion, m_load, {}, {},
        {}, {}, {}, reports};
    for (const auto *member : selectRandomMembers(m_policy.loadReportReceivers))
        m_transport.send(member->gossipAddress, message);
}

} // namespace Carawaykeel::Membership
