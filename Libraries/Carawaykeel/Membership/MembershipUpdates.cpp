// The part of Membership that selects the updates in datagrams and sends them.
#include <Carawaykeel/Membership/Membership.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace Carawaykeel::Membership {

void Membership::announceLeavingServer(const Base::ServerName &server)
{
    if (!m_leavingServers.insert(server).second)
        return;
    m_pendingServerUpdates.push_front({server, sendsPerUpdate()});
    m_events.onServerLeaving(server);
}

void Membership::enqueueUpdate(const Base::InstanceName &name)
{
    std::erase_if(
        m_pendingUpdates, [&](const PendingUpdate &update) { return update.member == name; });
    m_pendingUpdates.push_front({name, sendsPerUpdate()});
}

std::size_t Membership::sendsPerUpdate() const
{
    return m_policy.retransmitFactor * std::bit_width(m_members.size() + 1);
}

std::vector<Member> Membership::takeUpdates()
{
    std::vector<Member> taken;
    std::deque<PendingUpdate> requeued;
    while (!m_pendingUpdates.empty() && taken.size() < m_policy.maxUpdatesPerMessage) {
        auto update = m_pendingUpdates.front();
        m_pendingUpdates.pop_front();
        taken.push_back(m_members.at(update.member));
        if (--update.remainingSends > 0)
            requeued.push_back(update);
    }
    m_pendingUpdates.insert(m_pendingUpdates.end(), requeued.begin(), requeued.end());
    if (taken.size() < m_policy.maxUpdatesPerMessage && !m_members.empty()) {
        // Spare room is used for one random member, so that new instances learn of all members and
        // lost updates are recovered.
        std::uniform_int_distribution<std::size_t> index(0, m_members.size() - 1);
        taken.push_back(
            std::next(m_members.begin(), static_cast<std::ptrdiff_t>(index(m_random)))->second);
    }
    return taken;
}

std::vector<Base::ServerName> Membership::takeServerUpdates()
{
    std::vector<Base::ServerName> taken;
    std::deque<PendingServerUpdate> requeued;
    while (!m_pendingServerUpdates.empty() && taken.size() < m_policy.maxServersPerMessage) {
        auto update = m_pendingServerUpdates.front();
        m_pendingServerUpdates.pop_front();
        taken.push_back(update.server);
        if (--update.remainingSends > 0)
            requeued.push_back(update);
    }
    m_pendingServerUpdates.insert(m_pendingServerUpdates.end(), requeued.begin(), requeued.end());
    return taken;
}

void Membership::send(GossipKind kind, std::string_view address, std::uint64_t sequence,
    const Base::InstanceName &target)
{
    GossipMessage message{kind, sequence, m_self, target, m_configurationVersion, m_load,
        takeUpdates(), takeServerUpdates(), {}};
    m_transport.send(address, message);
}

void Membership::sendMemberList(const std::string &address)
{
    GossipMessage message{
        GossipKind::MemberList, 0, m_self, {}, m_configurationVersion, m_load, {}, {}, {}};
    for (const auto &[name, member] : m_members) {
        message.updates.push_back(member);
        if (message.updates.size() < m_policy.maxMembersPerMessage)
            continue;
        m_transport.send(address, message);
        message.updates.clear();
    }
    if (!message.updates.empty())
        m_transport.send(address, message);
}

std::vector<const Member *> Membership::selectRandomMembers(std::size_t count)
{
    auto members = liveMembers();
    std::ranges::shuffle(members, m_random);
    members.resize(std::min(members.size(), count));
    return members;
}

void Membership::sendBacklogs(const std::vector<Forwarding::ServerBacklog> &backlogs)
{
    std::vector<std::string_view> addresses;
    for (const auto *member : selectRandomMembers(m_policy.maxBacklogReceivers))
        addresses.push_back(member->gossipAddress);
    if (!addresses.empty()) {
        m_transport.sendToAll(addresses,
            {GossipKind::Backlogs, 0, m_self, {}, m_configurationVersion, m_load, {}, {},
                backlogs});
    }
}

void Membership::sendPromptReports(
    std::span<const Forwarding::PromptReport> reports, std::size_t count)
{
    for (const auto *member : selectRandomMembers(count))
        sendPromptReports(member->gossipAddress, reports);
}

void Membership::sendPromptReports(
    std::span<const Forwarding::PromptReport> reports, const Base::InstanceName &to)
{
    if (const auto it = m_members.find(to); it != m_members.end())
        sendPromptReports(it->second.gossipAddress, reports);
}

void Membership::sendPromptReports(
    std::string_view address, std::span<const Forwarding::PromptReport> reports)
{
    if (reports.empty())
        return;
    m_transport.send(address,
        {GossipKind::PromptReports, 0, m_self, {}, m_configurationVersion, m_load, {}, {}, {},
            {reports.begin(), reports.end()}});
}

void Membership::sendEvacuations(
    std::span<const Forwarding::Evacuation> evacuations, std::size_t count)
{
    for (const auto *member : selectRandomMembers(count))
        sendEvacuations(member->gossipAddress, evacuations);
}

void Membership::sendEvacuations(
    std::span<const Forwarding::Evacuation> evacuations, const Base::InstanceName &to)
{
    if (const auto it = m_members.find(to); it != m_members.end())
        sendEvacuations(it->second.gossipAddress, evacuations);
}

void Membership::sendEvacuations(
    std::string_view address, std::span<const Forwarding::Evacuation> evacuations)
{
    if (evacuations.empty())
        return;
    m_transport.send(address,
        {GossipKind::Evacuations, 0, m_self, {}, m_configurationVersion, m_load, {}, {}, {}, {},
            {evacuations.begin(), evacuations.end()}});
}

void Membership::sendKnownEvacuations(std::string_view address)
{
    if (m_events.knownEvacuations)
        sendEvacuations(address, m_events.knownEvacuations());
}

void Membership::sendEvacuationsWithProbe(std::string_view address)
{
    if (m_periodCount % m_policy.evacuationPeriods != 0 || !m_events.knownEvacuations)
        return;
    const auto evacuations = m_events.knownEvacuations();
    if (std::ranges::any_of(evacuations, &Forwarding::Evacuation::isEvacuated))
        sendEvacuations(address, evacuations);
}

} // namespace Carawaykeel::Membership
