// The part of Membership that says which news its datagrams carry.
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
    m_serverNews.push_front({server, sendsForNews()});
    m_events.onServerLeaving(server);
}

void Membership::enqueue(const Base::InstanceName &name)
{
    std::erase_if(m_news, [&](const News &news) { return news.member == name; });
    m_news.push_front({name, sendsForNews()});
}

std::size_t Membership::sendsForNews() const
{
    return m_policy.newsFactor * std::bit_width(m_members.size() + 1);
}

std::vector<Member> Membership::takeNews()
{
    std::vector<Member> taken;
    std::deque<News> rest;
    while (!m_news.empty() && taken.size() < m_policy.newsPerMessage) {
        auto news = m_news.front();
        m_news.pop_front();
        taken.push_back(m_members.at(news.member));
        if (--news.sendsLeft > 0)
            rest.push_back(news);
    }
    m_news.insert(m_news.end(), rest.begin(), rest.end());
    if (taken.size() < m_policy.newsPerMessage && !m_members.empty()) {
        // One member at random besides, so that a newcomer learns all and lost news are made good.
        std::uniform_int_distribution<std::size_t> index(0, m_members.size() - 1);
        taken.push_back(
            std::next(m_members.begin(), static_cast<std::ptrdiff_t>(index(m_random)))->second);
    }
    return taken;
}

std::vector<Base::ServerName> Membership::takeServerNews()
{
    std::vector<Base::ServerName> taken;
    std::deque<ServerNews> rest;
    while (!m_serverNews.empty() && taken.size() < m_policy.serversPerMessage) {
        auto news = m_serverNews.front();
        m_serverNews.pop_front();
        taken.push_back(news.server);
        if (--news.sendsLeft > 0)
            rest.push_back(news);
    }
    m_serverNews.insert(m_serverNews.end(), rest.begin(), rest.end());
    return taken;
}

void Membership::send(GossipKind kind, std::string_view address, std::uint64_t sequence,
    const Base::InstanceName &target)
{
    GossipMessage message{
        kind, sequence, m_self, target, m_configurationVersion, takeNews(), takeServerNews(), {}};
    m_link.send(address, message);
}

void Membership::tellMembers(const std::string &address)
{
    GossipMessage message{GossipKind::Members, 0, m_self, {}, m_configurationVersion, {}, {}, {}};
    for (const auto &[name, member] : m_members) {
        message.updates.push_back(member);
        if (message.updates.size() < m_policy.membersPerMessage)
            continue;
        m_link.send(address, message);
        message.updates.clear();
    }
    if (!message.updates.empty())
        m_link.send(address, message);
}

void Membership::sendBacklogs(const std::vector<Forwarding::ServerBacklog> &backlogs)
{
    auto told = livingMembers();
    std::ranges::shuffle(told, m_random);
    told.resize(std::min(told.size(), m_policy.backlogReceivers));
    for (const auto *member : told) {
        m_link.send(member->gossipAddress,
            {GossipKind::Backlogs, 0, m_self, {}, m_configurationVersion, {}, {}, backlogs});
    }
}

} // namespace Carawaykeel::Membership
