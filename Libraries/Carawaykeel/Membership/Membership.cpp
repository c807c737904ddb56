#include <Carawaykeel/Membership/Membership.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace Carawaykeel::Membership {

namespace {

constexpr std::size_t MaxEndedIncarnations = 256;

/// Returns true when an update supersedes the known state of the same incarnation.
bool isNewer(const Member &update, const Member &known)
{
    if (update.refutationCount != known.refutationCount)
        return update.refutationCount > known.refutationCount;
    if (update.isLeaving != known.isLeaving)
        return update.isLeaving;
    return update.state > known.state;
}

} // namespace

Membership::Membership(Member self, std::vector<std::string> seeds, const MembershipPolicy &policy,
    Base::Scheduler &scheduler, Base::RandomEngine &random, GossipTransport &transport,
    MembershipEvents events)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_policy(policy)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_transport(transport)
    , m_events(std::move(events))
{
}

void Membership::start()
{
    for (const auto &seed : m_seeds)
        send(GossipKind::Ping, seed, ++m_lastSequence, {});
    std::uniform_int_distribution<std::int64_t> jitter(0, m_policy.probePeriod.count());
    m_scheduler.schedule(Base::Milliseconds(jitter(m_random)), [this] { runProbePeriod(); });
}

void Membership::runProbePeriod()
{
    ++m_periodCount;
    if (!hasJoined()) {
        requestMemberLists(m_policy.joinRequestCount);
    } else if (m_periodCount % std::max(m_policy.antiEntropyPeriods, m_members.size()) == 0) {
        requestMemberLists(1);
    }
    if (m_periodCount % m_policy.reconnectPeriods == 0 || m_members.empty())
        reconnect();
    if (const auto *member = selectProbeTarget()) {
        sendEvacuationsWithProbe(member->gossipAddress);
        probe(*member);
    }
    relayLoads();
    m_scheduler.schedule(m_policy.probePeriod, [this] { runProbePeriod(); });
}

void Membership::probe(const Member &member)
{
    const auto sequence = ++m_lastSequence;
    m_unansweredProbes.insert(sequence);
    send(GossipKind::Ping, member.gossipAddress, sequence, {});
    const auto name = member.id.name;
    m_scheduler.schedule(
        m_policy.probeTimeout, [this, name, sequence] { probeIndirectly(name, sequence); });
}

void Membership::probeIndirectly(const Base::InstanceName &name, std::uint64_t sequence)
{
    if (!m_unansweredProbes.contains(sequence))
        return;
    auto helpers = liveMembers();
    std::erase_if(helpers, [&](const Member *member) { return member->id.name == name; });
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_policy.indirectProbeCount));
    for (const auto *helper : helpers)
        send(GossipKind::PingRequest, helper->gossipAddress, sequence, name);
    const auto wait = m_policy.probePeriod - m_policy.probeTimeout;
    m_scheduler.schedule(wait, [this, name, sequence] { suspectMember(name, sequence); });
}

void Membership::requestMemberLists(std::size_t count)
{
    std::vector<std::string> addresses;
    for (const auto *member : liveMembers())
        addresses.push_back(member->gossipAddress);
    if (addresses.empty())
        addresses = m_seeds;
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(std::min(addresses.size(), count));
    for (const auto &address : addresses)
        send(GossipKind::MemberListRequest, address, ++m_lastSequence, {});
}

void Membership::reconnect()
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
            enqueueIfNotAlive(name);
    }
    send(GossipKind::Ping, address, ++m_lastSequence, {});
}

void Membership::enqueueIfNotAlive(const Base::InstanceName &name)
{
    // The next datagram goes to this member; a suspicion in it can be refuted at once.
    const auto it = m_members.find(name);
    if (it != m_members.end() && it->second.state != MemberState::Alive)
        enqueueUpdate(name);
}

void Membership::suspectMember(const Base::InstanceName &name, std::uint64_t sequence)
{
    if (m_unansweredProbes.erase(sequence) == 0)
        return;
    const auto it = m_members.find(name);
    if (it == m_members.end() || it->second.state != MemberState::Alive)
        return;
    auto update = it->second;
    update.state = MemberState::Suspect;
    applyUpdate(update);
}

void Membership::expireSuspicion(const Base::InstanceId &id, std::uint32_t refutationCount)
{
    const auto it = m_members.find(id.name);
    if (it == m_members.end() || it->second.id != id
        || it->second.refutationCount != refutationCount
        || it->second.state != MemberState::Suspect)
        return;
    auto update = it->second;
    update.state = MemberState::Failed;
    applyUpdate(update);
}

void Membership::onMessage(const GossipMessage &message)
{
    if (message.sender.id.name != m_self.id.name) {
        auto sender = message.sender;
        sender.state = MemberState::Alive;
        applyUpdate(sender);
        enqueueIfNotAlive(message.sender.id.name);
        recordLoad(message.sender.id.name, message.load, m_scheduler.now());
    }
    for (const auto &update : message.updates)
        applyUpdate(update);
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
            const auto sequence = ++m_lastSequence;
            m_relayedProbes[sequence] = {message.sender.gossipAddress, message.sequence};
            send(GossipKind::Ping, it->second.gossipAddress, sequence, {});
            m_scheduler.schedule(
                m_policy.probePeriod, [this, sequence] { m_relayedProbes.erase(sequence); });
        }
        break;
    case GossipKind::Backlogs:
        if (m_events.onBacklogs)
            m_events.onBacklogs(message.sender.id.name, message.backlogs);
        break;
    case GossipKind::PromptReports:
        if (m_events.onPromptReports)
            m_events.onPromptReports(message.sender.id.name, message.promptReports);
        break;
    case GossipKind::Evacuations:
        if (m_events.onEvacuations)
            m_events.onEvacuations(message.sender.id.name, message.evacuations);
        break;
    case GossipKind::Loads:
        onLoadReports(message.loads);
        break;
    case GossipKind::MemberListRequest:
        sendKnownEvacuations(message.sender.gossipAddress);
        sendMemberList(message.sender.gossipAddress);
        if (m_events.knownPromptReports)
            sendPromptReports(message.sender.gossipAddress, m_events.knownPromptReports());
        break;
    case GossipKind::MemberList:
        break;
    case GossipKind::Acknowledge:
        m_unansweredProbes.erase(message.sequence);
        if (const auto it = m_relayedProbes.find(message.sequence); it != m_relayedProbes.end()) {
            send(GossipKind::Acknowledge, it->second.address, it->second.sequence, {});
            m_relayedProbes.erase(it);
        }
        break;
    }
}

void Membership::applyUpdate(const Member &update)
{
    if (update.id.name == m_self.id.name)
        return applyUpdateAboutSelf(update);
    const auto it = m_members.find(update.id.name);
    if (it == m_members.end()) {
        m_members.emplace(update.id.name, update);
        m_probeOrder.push_back(update.id.name);
        return enqueueUpdate(update.id.name);
    }
    auto &known = it->second;
    if (update.id.incarnation < known.id.incarnation)
        return;
    if (update.id.incarnation > known.id.incarnation)
        return replaceIncarnation(known, update);
    if (!isNewer(update, known))
        return;
    known = update;
    enqueueUpdate(update.id.name);
    if (update.state == MemberState::Suspect) {
        const auto id = update.id;
        const auto refutationCount = update.refutationCount;
        m_scheduler.schedule(m_policy.suspicionTimeout,
            [this, id, refutationCount] { expireSuspicion(id, refutationCount); });
    }
    if (update.state == MemberState::Failed)
        m_events.onMemberFailed(update.id);
}

void Membership::applyUpdateAboutSelf(const Member &update)
{
    if (update.id.incarnation != m_self.id.incarnation)
        return;
    const bool isSuspected =
        update.state != MemberState::Alive && update.refutationCount >= m_self.refutationCount;
    if (isSuspected)
        m_self.refutationCount = update.refutationCount + 1;
}

void Membership::replaceIncarnation(Member &known, const Member &update)
{
    const auto ended = known.id;
    known = update;
    m_endedIncarnations.push_back(ended);
    if (m_endedIncarnations.size() > MaxEndedIncarnations)
        m_endedIncarnations.pop_front();
    enqueueUpdate(update.id.name);
    m_events.onMemberFailed(ended);
}

void Membership::announceLeaving()
{
    m_self.isLeaving = true;
    ++m_self.refutationCount;
    for (const auto *member : liveMembers())
        send(GossipKind::Ping, member->gossipAddress, ++m_lastSequence, {});
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
        enqueueUpdate(name);
        m_events.onMemberFailed(member.id);
    }
}

const Member *Membership::selectProbeTarget()
{
    for (std::size_t n = m_probeOrder.size(); n > 0; --n) {
        const auto name = m_probeOrder.front();
        m_probeOrder.pop_front();
        // Reinsertion at a random position prevents two instances from probing in lockstep.
        std::uniform_int_distribution<std::size_t> position(
            m_probeOrder.size() / 2, m_probeOrder.size());
        m_probeOrder.insert(
            m_probeOrder.begin() + static_cast<std::ptrdiff_t>(position(m_random)), name);
        const auto &member = m_members.at(name);
        if (member.state != MemberState::Failed)
            return &member;
    }
    return nullptr;
}

std::vector<const Member *> Membership::liveMembers() const
{
    std::vector<const Member *> live;
    for (const auto &[name, member] : m_members) {
        if (member.state != MemberState::Failed)
            live.push_back(&member);
    }
    return live;
}

std::vector<Base::InstanceId> Membership::selectWitnesses()
{
    std::vector<const Member *> candidates;
    for (const auto *member : liveMembers()) {
        if (member->state == MemberState::Alive && !member->isLeaving)
            candidates.push_back(member);
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::stable_partition(candidates.begin(), candidates.end(),
        [this](const Member *member) { return member->dataCentre != m_self.dataCentre; });
    std::vector<Base::InstanceId> witnesses;
    if (candidates.empty())
        return witnesses;
    witnesses.push_back(candidates.front()->id);
    // The last candidate is in this instance's data centre if any candidate is.
    if (candidates.size() > 1)
        witnesses.push_back(candidates.back()->id);
    return witnesses;
}

std::vector<Base::InstanceId> Membership::livePeers()
{
    std::vector<Base::InstanceId> peers;
    for (const auto *member : liveMembers())
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
    const bool isFailed = member.state == MemberState::Failed;
    return isFailed ? Budget::Liveness::Failed : Budget::Liveness::Alive;
}

std::vector<Base::InstanceId> Membership::failedIncarnations() const
{
    std::vector<Base::InstanceId> failed(m_endedIncarnations.begin(), m_endedIncarnations.end());
    for (const auto &[name, member] : m_members) {
        if (member.state == MemberState::Failed)
            failed.push_back(member.id);
    }
    return failed;
}

std::vector<Member> Membership::servingMembers() const
{
    std::vector<Member> serving;
    if (!m_self.isLeaving)
        serving.push_back(m_self);
    for (const auto *member : liveMembers()) {
        if (!member->isLeaving)
            serving.push_back(*member);
    }
    return serving;
}

} // namespace Carawaykeel::Membership
