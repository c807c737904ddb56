#pragma once

#include <Carawaykeel/Adapters/TcpPeerTransport.h>
#include <Carawaykeel/Adapters/UdpGossipTransport.h>
#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Carawaykeel/Ingress/AllotmentLogger.h>
#include <Carawaykeel/Ingress/CallerListener.h>
#include <Carawaykeel/Ingress/ConfigurationSubscriber.h>
#include <Carawaykeel/Ingress/EntryHandler.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/ForwardHandler.h>
#include <Carawaykeel/Ingress/MetricsHandler.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>
#include <Carawaykeel/Ingress/ServerListSubscriber.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <memory>

namespace Carawaykeel::Ingress {

/// How the platform names and writes what the router reads.
struct RouterDependencies
{
    const Forwarding::Dialect &dialect;
    Platform::TableService &table;
    ServerListSubscriber::Decoder serverDecoder;
    ConfigurationSubscriber::Decoder configurationDecoder;
    /// Key of the configuration's row.
    std::string configurationKey;
};

/// One router process: takes callers' requests and passes them on to backend servers. Everything
/// but the listeners for changes runs on the reactor's thread.
class Router
{
public:
    /// The reactor and the interfaces outlive the router. Throws Poco::Net::NetException when an
    /// address cannot be listened on.
    Router(RouterSettings settings, Net::Reactor &reactor, RouterDependencies interfaces,
        Logging::LogSink &logSink);

    /// Take changes of the table service's rows; any thread may call them.
    Platform::ChangeListener &serverListSubscriber() { return m_serverChanges; }
    Platform::ChangeListener &configurationSubscriber() { return m_configurationChanges; }

    /// Begins all periodic work. Call once.
    void start();

    /// Takes settings that were read again. Bounds and times hold from now on; addresses and the
    /// rest only after a restart.
    void applySettings(const ParsedRouterSettings &parsed);

    /// Leaves: callers are sent elsewhere, requests under way are finished, tokens are handed back.
    /// Then the reactor is stopped.
    void shutDown();

private:
    static Membership::Member describeSelf(const RouterSettings &settings);
    void onConfiguration(const ConfigurationSubscriber::Pointer &configuration);
    EntryResponse entriesFor(const Forwarding::EntryQuery &question) const;
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
    RouterDependencies m_interfaces;
    Base::RandomEngine m_random;
    const Membership::Member m_self;
    Logging::Logger m_log;
    Peer::AuthenticatedCodec m_codec;
    Forwarding::ServerPool m_servers;
    Forwarding::RetryBudget m_retries;
    BacklogBroadcaster m_backlogs;
    RouterMetrics m_metrics;
    ServerConnectionPool m_connections;
    Adapters::TcpPeerTransport m_peers;
    Budget::AllotmentHolder m_allotments;
    AllotmentLogger m_allotmentLog;
    ExchangeContext m_context;
    ServerListSubscriber m_serverChanges;
    ConfigurationSubscriber m_configurationChanges;
    std::unique_ptr<Membership::Membership> m_membership;
    Adapters::UdpGossipTransport m_gossip;
    ForwardHandler m_forward;
    EntryHandler m_entry;
    CallerListener m_callers;
    CallerListener m_readyQuestions;
    CallerListener m_entryQuestions;
    MetricsHandler m_metricsHandler;
    /// Null when no address is set, or it cannot be listened on.
    std::unique_ptr<CallerListener> m_metricsQuestions;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
