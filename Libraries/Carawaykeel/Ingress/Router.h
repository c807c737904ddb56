#pragma once

#include <Carawaykeel/Adapters/TcpPeerLink.h>
#include <Carawaykeel/Adapters/UdpGossipLink.h>
#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Carawaykeel/Ingress/AllotmentLog.h>
#include <Carawaykeel/Ingress/ClientConnections.h>
#include <Carawaykeel/Ingress/ConfigurationChanges.h>
#include <Carawaykeel/Ingress/EntryHandler.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/ForwardHandler.h>
#include <Carawaykeel/Ingress/MetricsHandler.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>
#include <Carawaykeel/Ingress/ServerChanges.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/SealedCodec.h>

#include <memory>

namespace Carawaykeel::Ingress {

/// Platform-specific services, decoders and names that the router uses.
struct RouterInterfaces
{
    const Forwarding::Dialect &dialect;
    Platform::TableService &table;
    ServerChanges::Decoder serverDecoder;
    ConfigurationChanges::Decoder configurationDecoder;
    /// Key of the configuration's row.
    std::string configurationKey;
};

/// One router process: accepts callers' requests and forwards them to backend servers. Everything
/// except the change listeners runs on the reactor's thread.
class Router
{
public:
    /// The reactor and the dependencies must outlive the router. Throws Poco::Net::NetException if
    /// it cannot listen on an address.
    Router(RouterSettings settings, Net::Reactor &reactor, RouterInterfaces interfaces,
        Logging::LogSink &logSink);

    /// Listeners for changes of the table service's rows. Any thread may call them.
    Platform::ChangeListener &serverChanges() { return m_serverChanges; }
    Platform::ChangeListener &configurationChanges() { return m_configurationChanges; }

    /// Starts all periodic work. Call once.
    void start();

    /// Applies the limits and times of settings that were read again. Addresses and the other
    /// settings take effect only after a restart. Settings with errors change nothing.
    void reload(const ParsedRouterSettings &parsed);

    /// Leaves the fleet so that callers connect to other instances, finishes requests in flight,
    /// returns tokens, and then stops the reactor.
    void shutDown();

private:
    static Membership::Member describeSelf(const RouterSettings &settings);
    void onConfiguration(const ConfigurationChanges::Pointer &configuration);
    EntryAnswer entriesFor(const Forwarding::EntryQuestion &question) const;
    Forwarding::CallerLimits limits() const;
    std::string peerAddressOf(const Base::InstanceName &name) const;
    void onPeerMessage(const Peer::PeerEnvelope &envelope);
    Membership::MembershipEvents membershipEvents();
    void askForServers();
    void tidy();
    void listenForMetrics();
    std::string metricsPage() const;
    void awaitRequests(Base::Milliseconds deadline);
    void handBack(Base::Milliseconds deadline);

    RouterSettings m_settings;
    Net::Reactor &m_reactor;
    RouterInterfaces m_interfaces;
    Base::RandomEngine m_random;
    const Membership::Member m_self;
    Logging::Logger m_log;
    Peer::SealedCodec m_codec;
    Forwarding::ServerFleet m_servers;
    Forwarding::RetryWindow m_retries;
    BacklogReports m_backlogs;
    RouterMetrics m_metrics;
    ServerConnections m_connections;
    Adapters::TcpPeerLink m_peers;
    Budget::AllotmentHolder m_allotments;
    AllotmentLog m_allotmentLog;
    ExchangeContext m_context;
    ServerChanges m_serverChanges;
    ConfigurationChanges m_configurationChanges;
    std::unique_ptr<Membership::Membership> m_membership;
    Adapters::UdpGossipLink m_gossip;
    ForwardHandler m_forward;
    EntryHandler m_entry;
    ClientConnections m_callers;
    ClientConnections m_readyQuestions;
    ClientConnections m_entryQuestions;
    MetricsHandler m_metricsHandler;
    /// Null if no address is set or listening on it failed.
    std::unique_ptr<ClientConnections> m_metricsQuestions;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
