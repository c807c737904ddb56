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
    GossipMessage message{kind, sequence, m_self, target, m_configurationVersion, takeUpdates(),
        takeServerUpdates(), {}};
    m_transport.send(address, message);
}

void Membership::sendMemberList(const std::string &address)
{
    GossipMessage message{
        GossipKind::MemberList, 0, m_self, {}, m_configurationVersion, {}, {}, {}};
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

void Membership::sendBacklogs(const std::vector<Forwarding::ServerBacklog> &backlogs)
{
    auto receivers = liveMembers();
    std::ranges::shuffle(receivers, m_random);
    receivers.resize(std::min(receivers.size(), m_policy.maxBacklogReceivers));
    for (const auto *member : receivers) {
        m_transport.send(member->gossipAddress,
            {GossipKind::Backlogs, 0, m_self, {}, m_configurationVersion, {}, {}, backlogs});
    }
}

} // namespace Carawaykeel::Membership
