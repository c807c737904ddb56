#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Budget/FailureDetector.h>
#include <Carawaykeel/Budget/WitnessSelector.h>
#include <Carawaykeel/Membership/GossipTransport.h>
#include <Carawaykeel/Membership/MembershipPolicy.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Carawaykeel::Membership {

/// What other parts of an instance hear from the membership.
struct MembershipEvents
{
    /// A member offers a configuration that may be newer.
    std::function<void(const Base::InstanceId &from, std::uint64_t version)> onConfigurationVersion;
    /// A backend server is said to be leaving.
    std::function<void(const Base::ServerName &server)> onServerLeaving;
    /// A member was missed, or a life of it is over.
    std::function<void(const Base::InstanceId &)> onMemberFailed;
    /// A member tells what servers have yet to read of its requests.
    std::function<void(const Base::InstanceName &from, std::span<const Forwarding::ServerBacklog>)>
        onBacklogs = {};
};

/// Probing between instances in the manner of SWIM (Das, Gupta, Motivala 2002): one probe a period,
/// indirect probes, suspicion with refutation, news carried by the probes themselves. It is only a
/// hint; no promise rests on it.
class Membership : public Budget::WitnessSelector, public Budget::FailureDetector
{
public:
    Membership(Member self, std::vector<std::string> seeds, const MembershipPolicy &policy,
        Base::Scheduler &scheduler, Base::RandomEngine &random, GossipTransport &link,
        MembershipEvents events);

    /// Greets the seeds and begins to probe. Call once.
    void start();

    /// Takes a datagram that was decoded.
    void onMessage(const GossipMessage &message);

    /// Tells the others that this instance shuts down.
    void announceLeaving();

    /// Spreads that a backend server is leaving.
    void announceLeavingServer(const Base::ServerName &server);

    /// Tells the living members what servers have yet to read of this instance's requests.
    void sendBacklogs(const std::vector<Forwarding::ServerBacklog> &backlogs);

    /// The version that datagrams carry from now on.
    void setConfigurationVersion(std::uint64_t version);

    /// The platform or an operator says that a VM is gone; its lives are over for certain.
    void markVmGone(const std::string &vm);

    std::vector<Base::InstanceId> selectWitnesses() override;
    std::vector<Base::InstanceId> livePeers() override;
    Budget::Liveness livenessOf(const Base::InstanceId &instance) const override;
    std::vector<Base::InstanceId> failedIncarnations() const override;
    std::size_t knownInstances() const override { return m_members.size() + 1; }

    const Member &self() const { return m_self; }
    const std::map<Base::InstanceName, Member> &members() const { return m_members; }

    /// True once this instance has had the time to ask others for all members. Before, what it
    /// knows may be a small part of the fleet.
    bool hasJoined() const { return m_periods > m_policy.joinPeriods; }

    /// This instance and all others that are alive and not leaving.
    std::vector<Member> servingMembers() const;

private:
    struct News
    {
        Base::InstanceName member;
        std::size_t sendsLeft;
    };
    struct ServerNews
    {
        Base::ServerName server;
        std::size_t sendsLeft;
    };
    /// A probe made for another member, to be answered to it.
    struct Relay
    {
        std::string address;
        std::uint64_t sequence;
    };

    void probePeriod();
    void probe(const Member &member);
    void probeIndirectly(const Base::InstanceName &name, std::uint64_t sequence);
    void askForMembers(std::size_t count);
    void tellMembers(const std::string &address);
    void heal();
    void tellAccused(const Base::InstanceName &name);
    void suspect(const Base::InstanceName &name, std::uint64_t sequence);
    void expireSuspicion(const Base::InstanceId &id, std::uint32_t refutation);
    void learn(const Member &news);
    void learnOfSelf(const Member &news);
    void replaceLife(Member &known, const Member &news);
    void enqueue(const Base::InstanceName &name);
    void send(GossipKind kind, std::string_view address, std::uint64_t sequence,
        const Base::InstanceName &target);
    std::vector<Member> takeNews();
    std::vector<Base::ServerName> takeServerNews();
    std::size_t sendsForNews() const;
    const Member *nextToProbe();
    std::vector<const Member *> livingMembers() const;

    Member m_self;
    const std::vector<std::string> m_seeds;
    const MembershipPolicy m_policy;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    GossipTransport &m_link;
    MembershipEvents m_events;
    std::map<Base::InstanceName, Member> m_members;
    std::deque<Base::InstanceName> m_probeOrder;
    std::deque<News> m_news;
    std::deque<ServerNews> m_serverNews;
    std::set<Base::ServerName> m_leavingServers;
    std::set<std::string> m_goneVms;
    /// Lives that a later one of the same name has replaced, the latest last.
    std::deque<Base::InstanceId> m_endedLives;
    std::set<std::uint64_t> m_openProbes;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_periods = 0;
    std::uint64_t m_configurationVersion = 0;
};

} // namespace Carawaykeel::Membership
