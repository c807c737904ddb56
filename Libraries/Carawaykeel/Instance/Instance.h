#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/GrantHolder.h>
#include <Carawaykeel/Budget/GrantReclaimer.h>
#include <Carawaykeel/Budget/GrantWitness.h>
#include <Carawaykeel/Configuration/ConfigurationReplica.h>
#include <Carawaykeel/Instance/InstanceSettings.h>
#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>
#include <Carawaykeel/Platform/CircuitTable.h>
#include <Carawaykeel/Requests/RequestCoordinator.h>
#include <Carawaykeel/Routing/Dispatcher.h>

#include <functional>
#include <set>
#include <vector>

namespace Carawaykeel::Instance {

/// Where a caller of a team is to connect, and for how long the answer is good.
struct EntryInstances
{
    std::vector<Membership::Member> members;
    Base::Milliseconds cacheTime;
};

/// Is told what happens in the decisions.
struct InstanceEvents
{
    /// A configuration has come into force.
    std::function<void(std::uint64_t version, const Configuration::Declaration &)> onConfiguration;
    /// An instance was missed, or a life of it is over.
    std::function<void(const Base::InstanceId &)> onInstanceFailed;
};

/// All decisions of one instance, wired together. Everything is called on the scheduler's thread.
class Instance
{
public:
    /// The references outlive the instance.
    Instance(InstanceSettings settings, Base::Scheduler &scheduler, Platform::TableService &table,
        Peer::PeerTransport &peers, Membership::GossipTransport &gossip,
        Budget::AttemptLookup &attempts, Base::RandomEngine &random, InstanceEvents events);

    /// Begins all periodic work. Call once.
    void start();

    void onPeerMessage(const Peer::PeerEnvelope &envelope);
    void onGossip(const Membership::GossipMessage &message);

    /// The instances that a team's callers are to use, in order.
    EntryInstances entryInstancesFor(const Base::TeamId &team) const;

    /// A backend server said, or the list of VMs says, that it is leaving.
    void markServerLeaving(const Base::ServerName &server);

    /// Leaves: callers are sent elsewhere, what is in flight is finished, grants are handed back.
    /// Answers true when everything was handed back, false when the time was up.
    void shutDown(Base::Milliseconds limit, std::function<void(bool)> answer);

    Requests::RequestCoordinator &requests() { return m_requests; }
    Requests::RequestIdIssuer &requestIdIssuer() { return m_mint; }
    Budget::GrantHolder &grantHolder() { return m_budgets; }
    Budget::GrantWitness &witness() { return m_witness; }
    Budget::GrantReclaimer &reclaimer() { return m_reclaimer; }
    Configuration::ConfigurationReplica &configuration() { return m_configuration; }
    Membership::Membership &membership() { return m_membership; }
    Routing::Dispatcher &dispatcher() { return m_dispatcher; }
    const Base::InstanceId &id() const { return m_context.self; }
    bool isShuttingDown() const { return m_isShuttingDown; }

private:
    void onConfiguration(std::uint64_t version, const Configuration::Declaration &declaration);
    void applyServices(const Configuration::Declaration &declaration);
    void applyLeaving();
    void waitForRequests(Base::Milliseconds deadline, std::function<void(bool)> answer);
    void handBack(Base::Milliseconds deadline, std::function<void(bool)> answer);
    std::vector<Base::InstanceId> teamPeers(const Base::TeamId &team) const;

    const InstanceSettings m_settings;
    Platform::CircuitTable m_circuit;
    Base::InstanceContext m_context;
    InstanceEvents m_events;
    Membership::Membership m_membership;
    Routing::Dispatcher m_dispatcher;
    Budget::GrantHolder m_budgets;
    Budget::GrantWitness m_witness;
    Budget::GrantReclaimer m_reclaimer;
    Configuration::ConfigurationReplica m_configuration;
    Requests::RequestIdIssuer m_mint;
    Requests::RequestCoordinator m_requests;
    std::set<Base::ServerName> m_declaredLeaving;
    /// Servers that were said to be leaving by others than the declaration; it stays so.
    std::set<Base::ServerName> m_saidLeaving;
    bool m_isShuttingDown = false;
};

} // namespace Carawaykeel::Instance
