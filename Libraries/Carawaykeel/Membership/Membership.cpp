#include <Carawaykeel/Membership/Membership.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace Carawaykeel::Membership {

namespace {

constexpr std::size_t EndedLivesKept = 256;

/// True when the news is to replace what is known of the same life.
bool isNewer(const Member &news, const Member &known)
{
    if (news.refutation != known.refutation)
        return news.refutation > known.refutation;
    if (news.isLeaving != known.isLeaving)
        return news.isLeaving;
    return news.state > known.state;
}

} // namespace

Membership::Membership(Member self, std::vector<std::string> seeds, const MembershipPolicy &policy,
    Base::Scheduler &scheduler, Base::RandomEngine &random, GossipTransport &link,
    MembershipEvents events)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_policy(policy)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_link(link)
    , m_events(std::move(events))
{
}

void Membership::start()
{
    for (const auto &seed : m_seeds)
        send(GossipKind::Ping, seed, ++m_sequence, {});
    std::uniform_int_distribution<std::int64_t> jitter(0, m_policy.probePeriod.count());
    m_scheduler.schedule(Base::Milliseconds(jitter(m_random)), [this] { probePeriod(); });
}

void Membership::probePeriod()
{
    ++m_periods;
    if (!hasJoined()) {
        askForMembers(m_policy.joinFanOut);
    } else if (m_periods % std::max(m_policy.syncEvery, m_members.size()) == 0) {
        askForMembers(1);
    }
    if (m_periods % m_policy.healEvery == 0 || m_members.empty())
        heal();
    if (const auto *member = nextToProbe())
        probe(*member);
    m_scheduler.schedule(m_policy.probePeriod, [this] { probePeriod(); });
}

void Membership::probe(const Member &member)
{
    const auto sequence = ++m_sequence;
    m_openProbes.insert(sequence);
    send(GossipKind::Ping, member.gossipAddress, sequence, {});
    const auto name = member.id.name;
    m_scheduler.schedule(
        m_policy.probeTimeout, [this, name, sequence] { probeIndirectly(name, sequence); });
}

void Membership::probeIndirectly(const Base::InstanceName &name, std::uint64_t sequence)
{
    if (!m_openProbes.contains(sequence))
        return;
    auto others = livingMembers();
    std::erase_if(others, [&](const Member *member) { return member->id.name == name; });
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(others.size(), m_policy.indirectProbes));
    for (const auto *other : others)
        send(GossipKind::PingRequest, other->gossipAddress, sequence, name);
    const auto wait = m_policy.probePeriod - m_policy.probeTimeout;
    m_scheduler.schedule(wait, [this, name, sequence] { suspect(name, sequence); });
}

void Membership::askForMembers(std::size_t count)
{
    std::vector<std::string> addresses;
    for (const auto *member : livingMembers())
        addresses.push_back(member->gossipAddress);
    if (addresses.empty())
        addresses = m_seeds;
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(std::min(addresses.size(), count));
    for (const auto &address : addresses)
        send(GossipKind::AskMembers, address, ++m_sequence, {});
}

void Membership::heal()
{
    std::vector<std::string> addresses = m_seeds;
    for (const auto &[name, member] : m_members) {
        if (member.state == MemberState::Failed)
            addresses.push_back(member.gossipAddress);
    }
    if (addresses.empty())
        return;
    std::uniform_int_distribution<std::size_t> index(0, addresses.size() - 1);
    const auto &address = addresses[index(m_random)];
    for (const auto &[name, member] : m_members) {
        if (member.gossipAddress == address)
            tellAccused(name);
    }
    send(GossipKind::Ping, address, ++m_sequence, {});
}

void Membership::tellAccused(const Base::InstanceName &name)
{
    // The next datagram goes to this member; carrying the accusation lets it refute at once.
    const auto it = m_members.find(name);
    if (it != m_members.end() && it->second.state != MemberState::Alive)
        enqueue(name);
}

void Membership::suspect(const Base::InstanceName &name, std::uint64_t sequence)
{
    if (m_openProbes.erase(sequence) == 0)
        return;
    const auto it = m_members.find(name);
    if (it == m_members.end() || it->second.state != MemberState::Alive)
        return;
    auto news = it->second;
    news.state = MemberState::Suspect;
    learn(news);
}

void Membership::expireSuspicion(const Base::InstanceId &id, std::uint32_t refutation)
{
    const auto it = m_members.find(id.name);
    if (it == m_members.end() || it->second.id != id || it->second.refutation != refutation
        || it->second.state != MemberState::Suspect)
        return;
    auto news = it->second;
    news.state = MemberState::Failed;
    learn(news);
}

void Membership::onMessage(const GossipMessage &message)
{
    if (message.sender.id.name != m_self.id.name) {
        auto sender = message.sender;
        sender.state = MemberState::Alive;
        learn(sender);
        tellAccused(message.sender.id.name);
    }
    for (const auto &news : message.updates)
        learn(news);
    for (const auto &server : message.leavingServers)
        announceLeavingServer(server);
    if (message.configurationVersion != m_configurationVersion)
        m_events.onConfigurationVersion(message.sender.id, message.configurationVersion);
    switch (message.kind) {
    case GossipKind::Ping:
        send(GossipKind::Acknowledge, message.sender.gossipAddress, message.sequence, {});
        break;
    case GossipKind::PingRequest:
        if (const auto it = m_members.find(message.target); it != m_members.end()) {
            const auto sequence = ++m_sequence;
            m_relays[sequence] = {message.sender.gossipAddress, message.sequence};
            send(GossipKind::Ping, it->second.gossipAddress, sequence, {});
            m_scheduler.schedule(
                m_policy.probePeriod, [this, sequence] { m_relays.erase(sequence); });
        }
        break;
    case GossipKind::Backlogs:
        if (m_events.onBacklogs)
            m_events.onBacklogs(message.sender.id.name, message.backlogs);
        break;
    case GossipKind::AskMembers:
        tellMembers(message.sender.gossipAddress);
        break;
    case GossipKind::Members:
        break;
    case GossipKind::Acknowledge:
        m_openProbes.erase(message.sequence);
        if (const auto it = m_relays.find(message.sequence); it != m_relays.end()) {
            send(GossipKind::Acknowledge, it->second.address, it->second.sequence, {});
            m_relays.erase(it);
        }
        break;
    }
}

void Membership::learn(const Member &news)
{
    if (news.id.name == m_self.id.name)
        return learnOfSelf(news);
    const auto it = m_members.find(news.id.name);
    if (it == m_members.end()) {
        m_members.emplace(news.id.name, news);
        m_probeOrder.push_back(news.id.name);
        return enqueue(news.id.name);
    }
    auto &known = it->second;
    if (news.id.incarnation < known.id.incarnation)
        return;
    if (news.id.incarnation > known.id.incarnation)
        return replaceLife(known, news);
    if (!isNewer(news, known))
        return;
    known = news;
    enqueue(news.id.name);
    if (news.state == MemberState::Suspect) {
        const auto id = news.id;
        const auto refutation = news.refutation;
        m_scheduler.schedule(
            m_policy.suspicionTimeout, [this, id, refutation] { expireSuspicion(id, refutation); });
    }
    if (news.state == MemberState::Failed)
        m_events.onMemberFailed(news.id);
}

void Membership::learnOfSelf(const Member &news)
{
    if (news.id.incarnation != m_self.id.incarnation)
        return;
    const bool isAccused = news.state != MemberState::Alive && news.refutation >= m_self.refutation;
    if (isAccused)
        m_self.refutation = news.refutation + 1;
}

void Membership::replaceLife(Member &known, const Member &news)
{
    const auto over = known.id;
    known = news;
    m_endedLives.push_back(over);
    if (m_endedLives.size() > EndedLivesKept)
        m_endedLives.pop_front();
    enqueue(news.id.name);
    m_events.onMemberFailed(over);
}

void Membership::announceLeaving()
{
    m_self.isLeaving = true;
    ++m_self.refutation;
    for (const auto *member : livingMembers())
        send(GossipKind::Ping, member->gossipAddress, ++m_sequence, {});
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion = version;
}

void Membership::markVmGone(const std::string &vm)
{
    if (!m_goneVms.insert(vm).second)
        return;
    for (auto &[name, member] : m_members) {
        if (member.vm != vm)
            continue;
        member.state = MemberState::Failed;
        enqueue(name);
        m_events.onMemberFailed(member.id);
    }
}

const Member *Membership::nextToProbe()
{
    for (std::size_t n = m_probeOrder.size(); n > 0; --n) {
        const auto name = m_probeOrder.front();
        m_probeOrder.pop_front();
        // Reinserting at a random place keeps two instances from probing in step for ever.
        std::uniform_int_distribution<std::size_t> place(
            m_probeOrder.size() / 2, m_probeOrder.size());
        m_probeOrder.insert(
            m_probeOrder.begin() + static_cast<std::ptrdiff_t>(place(m_random)), name);
        const auto &member = m_members.at(name);
        if (member.state != MemberState::Failed)
            return &member;
    }
    return nullptr;
}

std::vector<const Member *> Membership::livingMembers() const
{
    std::vector<const Member *> living;
    for (const auto &[name, member] : m_members) {
        if (member.state != MemberState::Failed)
            living.push_back(&member);
    }
    return living;
}

std::vector<Base::InstanceId> Membership::selectWitnesses()
{
    std::vector<const Member *> candidates;
    for (const auto *member : livingMembers()) {
        if (member->state == MemberState::Alive && !member->isLeaving)
            candidates.push_back(member);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::stable_partition(candidates.begin(), candidates.end(),
        [this](const Member *member) { return member->dataCentre != m_self.dataCentre; });
    std::vector<Base::InstanceId> chosen;
    if (candidates.empty())
        return chosen;
    chosen.push_back(candidates.front()->id);
    // The last candidate is in the own data centre, if any is.
    if (candidates.size() > 1)
        chosen.push_back(candidates.back()->id);
    return chosen;
}

std::vector<Base::InstanceId> Membership::livePeers()
{
    std::vector<Base::InstanceId> peers;
    for (const auto *member : livingMembers())
        peers.push_back(member->id);
    return peers;
}

Budget::Liveness Membership::livenessOf(const Base::InstanceId &instance) const
{
    if (instance == m_self.id)
        return Budget::Liveness::Alive;
    if (instance.name == m_self.id.name)
        return Budget::Liveness::ConfirmedDead;
    const auto it = m_members.find(instance.name);
    if (it == m_members.end())
        return Budget::Liveness::Failed;
    const auto &member = it->second;
    if (member.id.incarnation > instance.incarnation || m_goneVms.contains(member.vm))
        return Budget::Liveness::ConfirmedDead;
    const bool isMissed = member.state == MemberState::Failed;
    return isMissed ? Budget::Liveness::Failed : Budget::Liveness::Alive;
}

std::vector<Base::InstanceId> Membership::failedIncarnations() const
{
    std::vector<Base::InstanceId> missing(m_endedLives.begin(), m_endedLives.end());
    for (const auto &[name, member] : m_members) {
        if (member.state == MemberState::Failed)
            missing.push_back(member.id);
    }
    return missing;
}

std::vector<Member> Membership::servingMembers() const
{
    std::vector<Member> serving;
    if (!m_self.isLeaving)
        serving.push_back(m_self);
    for (const auto *member : livingMembers()) {
        if (!member->isLeaving)
            serving.push_back(*member);
    }
    return serving;
}

} // namespace Carawaykeel::Membership
