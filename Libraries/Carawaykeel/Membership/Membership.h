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
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Carawaykeel::Membership {

/// Callbacks for events in the membership.
struct MembershipEvents
{
    /// A member announced a configuration version that may be newer.
    std::function<void(const Base::InstanceId &from, std::uint64_t version)> onConfigurationVersion;
    /// A backend server is reported as leaving.
    std::function<void(const Base::ServerName &server)> onServerLeaving;
    /// A member has failed, or one of its incarnations has ended.
    std::function<void(const Base::InstanceId &)> onMemberFailed;
    /// A member reported the unprocessed prompt tokens of its requests at servers.
    std::function<void(const Base::InstanceName &from, std::span<const Forwarding::ServerBacklog>)>
        onBacklogs = {};
    /// A member reported prompt parts that crash servers.
    std::function<void(const Base::InstanceName &from, std::span<const Forwarding::PromptReport>)>
        onPromptReports = {};
    /// Returns the prompt reports for a member that requests the list of all members.
    std::function<std::vector<Forwarding::PromptReport>()> knownPromptReports = {};
    /// A member reported data centres that are or were evacuated.
    std::function<void(const Base::InstanceName &from, std::span<const Forwarding::Evacuation>)>
        onEvacuations = {};
    /// Returns the evacuations for a member that requests the list of all members or is probed.
    std::function<std::vector<Forwarding::Evacuation>()> knownEvacuations = {};
};

/// The membership protocol of the fleet, based on SWIM (Das, Gupta, Motivala 2002): one probe a
/// period, indirect probes, suspicion with refutation, updates piggybacked on the probes. Its
/// results are hints; no guarantee depends on them.
class Membership : public Budget::WitnessSelector, public Budget::FailureDetector
{
public:
    Membership(Member self, std::vector<std::string> seeds, const MembershipPolicy &policy,
        Base::Scheduler &scheduler, Base::RandomEngine &random, GossipTransport &transport,
        MembershipEvents events);

    /// Pings the seeds and starts the periodic probes. Call once.
    void start();

    /// Handles a decoded datagram.
    void onMessage(const GossipMessage &message);

    /// Announces to the other members that this instance shuts down.
    void announceLeaving();

    /// Announces to the other members that a backend server is leaving.
    void announceLeavingServer(const Base::ServerName &server);

    /// Sends the unprocessed prompt tokens of this instance's requests at servers to random live
    /// members.
    void sendBacklogs(const std::vector<Forwarding::ServerBacklog> &backlogs);

    /// Sends prompt reports to at most `count` random live members.
    void sendPromptReports(std::span<const Forwarding::PromptReport> reports, std::size_t count);
    /// Sends prompt reports to one member, if it is known.
    void sendPromptReports(
        std::span<const Forwarding::PromptReport> reports, const Base::InstanceName &to);

    /// Sends evacuations to at most `count` random live members.
    void sendEvacuations(std::span<const Forwarding::Evacuation> evacuations, std::size_t count);
    /// Sends evacuations to one member, if it is known.
    void sendEvacuations(
        std::span<const Forwarding::Evacuation> evacuations, const Base::InstanceName &to);

    /// Sets the requests per second of this instance, which each datagram reports.
    void setLoad(std::uint32_t load) { m_load = load; }
    /// Returns the requests per second that an instance reported lately; empty when it did not.
    std::optional<std::uint32_t> loadOf(const Base::InstanceName &name) const;
    /// Sets the configuration version that datagrams carry.
    void setConfigurationVersion(std::uint64_t version);

    /// Records that a VM is gone, as reported by the platform or an operator. The incarnations that
    /// ran on it are then confirmed dead.
    void markVmGone(const std::string &vm);

    std::vector<Base::InstanceId> selectWitnesses() override;
    std::vector<Base::InstanceId> livePeers() override;
    Budget::Liveness livenessOf(const Base::InstanceId &instance) const override;
    std::vector<Base::InstanceId> failedIncarnations() const override;
    std::size_t knownInstances() const override { return m_members.size() + 1; }

    const Member &self() const { return m_self; }
    const std::map<Base::InstanceName, Member> &members() const { return m_members; }

    /// Returns true once this instance has had the time to request the member lists of others.
    /// Before that it may know only a small part of the fleet.
    bool hasJoined() const { return m_periodCount > m_policy.joinPeriods; }

    /// Returns all instances that have not failed and are not leaving, including this one.
    std::vector<Member> servingMembers() const;

private:
    struct PendingUpdate
    {
        Base::InstanceName member;
        std::size_t remainingSends;
    };
    struct PendingServerUpdate
    {
        Base::ServerName server;
        std::size_t remainingSends;
    };
    /// A probe sent on behalf of another member, which gets the acknowledgement.
    struct RelayedProbe
    {
        std::string address;
        std::uint64_t sequence;
    };

    void runProbePeriod();
    void probe(const Member &member);
    void probeIndirectly(const Base::InstanceName &name, std::uint64_t sequence);
    void requestMemberLists(std::size_t count);
    void sendMemberList(const std::string &address);
    void recordLoad(
        const Base::InstanceName &name, std::uint32_t load, Base::Milliseconds reportedAt);
    void onLoadReports(std::span<const LoadReport> reports);
    /// Sends some of the loads that this instance knows to random members.
    void relayLoads();
    void sendPromptReports(
        std::string_view address, std::span<const Forwarding::PromptReport> reports);
    void sendEvacuations(
        std::string_view address, std::span<const Forwarding::Evacuation> evacuations);
    void sendKnownEvacuations(std::string_view address);
    void sendEvacuationsWithProbe(std::string_view address);
    std::vector<const Member *> selectRandomMembers(std::size_t count);
    void reconnect();
    void enqueueIfNotAlive(const Base::InstanceName &name);
    void suspectMember(const Base::InstanceName &name, std::uint64_t sequence);
    void expireSuspicion(const Base::InstanceId &id, std::uint32_t refutationCount);
    void applyUpdate(const Member &update);
    void applyUpdateAboutSelf(const Member &update);
    void replaceIncarnation(Member &known, const Member &update);
    void enqueueUpdate(const Base::InstanceName &name);
    void send(GossipKind kind, std::string_view address, std::uint64_t sequence,
        const Base::InstanceName &target);
    std::vector<Member> takeUpdates();
    std::vector<Base::ServerName> takeServerUpdates();
    std::size_t sendsPerUpdate() const;
    const Member *selectProbeTarget();
    std::vector<const Member *> liveMembers() const;

    Member m_self;
    const std::vector<std::string> m_seeds;
    const MembershipPolicy m_policy;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    GossipTransport &m_transport;
    MembershipEvents m_events;
    std::map<Base::InstanceName, Member> m_members;
    std::deque<Base::InstanceName> m_probeOrder;
    std::deque<PendingUpdate> m_pendingUpdates;
    std::deque<PendingServerUpdate> m_pendingServerUpdates;
    std::set<Base::ServerName> m_leavingServers;
    std::set<std::string> m_goneVms;
    /// Incarnations that were replaced by a later one of the same name, the latest last.
    std::deque<Base::InstanceId> m_endedIncarnations;
    std::set<std::uint64_t> m_unansweredProbes;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_periodCount = 0;
    struct ReportedLoad
    {
        std::uint32_t load = 0;
        Base::Milliseconds receivedAt;
    };

    std::uint32_t m_load = 0;
    std::map<Base::InstanceName, ReportedLoad> m_loads;
    std::uint64_t m_configurationVersion = 0;
};

} // namespace Carawaykeel::Membership
