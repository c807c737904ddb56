#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/GrantHolder.h>
#include <Carawaykeel/Budget/GrantReclaimer.h>
#include <Carawaykeel/Budget/GrantWitness.h>
#include <Carawaykeel/Configuration/ConfigurationReplica.h>
#include <Carawaykeel/Instance/InstanceSettings.h>
#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>
#include <Carawaykeel/Platform/TableCircuitBreaker.h>
#include <Carawaykeel/Requests/RequestCoordinator.h>
#include <Carawaykeel/Routing/Dispatcher.h>

#include <functional>
#include <set>
#include <vector>

namespace Carawaykeel::Instance {

/// The instances that a team's callers connect to, and how long callers may cache the list.
struct EntryInstances
{
    std::vector<Membership::Member> members;
    Base::Milliseconds cacheTime;
};

/// Callbacks for events in the decision logic.
struct InstanceEvents
{
    /// Called when a configuration comes into force.
    std::function<void(std::uint64_t version, const Configuration::Declaration &)> onConfiguration;
    /// Called when an instance has failed or one of its incarnations has ended.
    std::function<void(const Base::InstanceId &)> onInstanceFailed;
};

/// The decision logic of one instance: creates and connects its components. Everything is called on
/// the scheduler's thread.
class Instance
{
public:
    /// The references must outlive the instance.
    Instance(InstanceSettings settings, Base::Scheduler &scheduler, Platform::TableService &table,
        Peer::PeerTransport &peers, Membership::GossipTransport &gossip,
        Budget::AttemptLookup &attemptLookup, Base::RandomEngine &random, InstanceEvents events);

    /// Starts all periodic work. Call once.
    void start();

    void onPeerMessage(const Peer::PeerEnvelope &envelope);
    void onGossip(const Membership::GossipMessage &message);

    /// Returns the instances that a team's callers should use, in order of preference.
    EntryInstances entryInstancesFor(const Base::TeamId &team) const;

    /// Marks a backend server as leaving, as announced by the server or reported by the VM list.
    void markServerLeaving(const Base::ServerName &server);

    /// Shuts down: directs callers to other instances, finishes the requests in flight and returns
    /// all grants. Calls `callback` once, with true when all grants were returned and with false
    /// when the timeout expired first. Does nothing if a shutdown was started before.
    void shutDown(Base::Milliseconds timeout, std::function<void(bool)> callback);

    Requests::RequestCoordinator &requestCoordinator() { return m_requestCoordinator; }
    Requests::RequestIdIssuer &requestIdIssuer() { return m_requestIdIssuer; }
    Budget::GrantHolder &grantHolder() { return m_grantHolder; }
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
    void applyLeavingServers();
    void waitForRequests(Base::Milliseconds deadline, std::function<void(bool)> callback);
    void returnGrants(Base::Milliseconds deadline, std::function<void(bool)> callback);
    std::vector<Base::InstanceId> teamPeers(const Base::TeamId &team) const;

    const InstanceSettings m_settings;
    Platform::TableCircuitBreaker m_tableBreaker;
    Base::InstanceContext m_context;
    InstanceEvents m_events;
    Membership::Membership m_membership;
    Routing::Dispatcher m_dispatcher;
    Budget::GrantHolder m_grantHolder;
    Budget::GrantWitness m_witness;
    Budget::GrantReclaimer m_reclaimer;
    Configuration::ConfigurationReplica m_configuration;
    Requests::RequestIdIssuer m_requestIdIssuer;
    Requests::RequestCoordinator m_requestCoordinator;
    std::set<Base::ServerName> m_declaredLeaving;
    /// Servers reported as leaving by a source other than the declaration; never removed.
    std::set<Base::ServerName> m_reportedLeaving;
    bool m_isShuttingDown = false;
};

} // namespace Carawaykeel::Instance
