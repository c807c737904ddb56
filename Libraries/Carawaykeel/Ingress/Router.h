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

/// Platform-specific services, decoders and names that the router uses.
struct RouterDependencies
{
    const Forwarding::Dialect &dialect;
    Platform::TableService &table;
    ServerListSubscriber::Decoder serverDecoder;
    ConfigurationSubscriber::Decoder configurationDecoder;
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
    Router(RouterSettings settings, Net::Reactor &reactor, RouterDependencies interfaces,
        Logging::LogSink &logSink);

    /// Listeners for changes of the table service's rows. Any thread may call them.
    Platform::ChangeListener &serverListSubscriber() { return m_serverChanges; }
    Platform::ChangeListener &configurationSubscriber() { return m_configurationChanges; }

    /// Starts all periodic work. Call once.
    void start();

    /// Applies the limits and times of settings that were read again. Addresses and the other
    /// settings take effect only after a restart. Settings with errors change nothing.
    void applySettings(const ParsedRouterSettings &parsed);

    /// Leaves the fleet so that callers connect to other instances, finishes requests in flight,
    /// returns tokens, and then stops the reactor.
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
    /// Null if no address is set or listening on it failed.
    std::unique_ptr<CallerListener> m_metricsQuestions;
    bool m_isLeaving = false;
};

} // namespace Carawaykeel::Ingress
