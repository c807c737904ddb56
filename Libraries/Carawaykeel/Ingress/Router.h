#pragma once

#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Carawaykeel/Configuration/ConfigurationRelay.h>
#include <Carawaykeel/Entries/EntryPlanner.h>
#include <Carawaykeel/Ingress/AllotmentLogger.h>
#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/CallerListener.h>
#include <Carawaykeel/Ingress/ColdPermitStore.h>
#include <Carawaykeel/Ingress/ConfigurationSubscriber.h>
#include <Carawaykeel/Ingress/EntryHandler.h>
#include <Carawaykeel/Ingress/EvacuationSubscriber.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/ForwardHandler.h>
#include <Carawaykeel/Ingress/GossipEvacuationTransport.h>
#include <Carawaykeel/Ingress/GossipReportTransport.h>
#include <Carawaykeel/Ingress/MetricsHandler.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>
#include <Carawaykeel/Ingress/ServerListSubscriber.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Membership/Membership.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>
#include <Carawaykeel/Transport/TcpPeerTransport.h>
#include <Carawaykeel/Transport/UdpGossipTransport.h>

#include <functional>
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
    /// Prefix of the keys of evacuations; the name of a data centre follows.
    std::string evacuationKeyPrefix;
    /// Appends the metrics of the table service's client to the metrics page; may be empty.
    std::function<void(Metrics::PrometheusWriter &writer)> writeTableMetrics;
    /// Memory of the process, which then steers what is held for callers; may be null.
    ResidentMemory *memory = nullptr;
};

/// One router process: accepts callers' requests and forwards them to backend servers. Everything
/// except the change listeners runs on the reactor's thread.
class Router
{
public:
    /// The reactor and the dependencies must outlive the router. Throws Poco::Net::NetException if
    /// it cannot listen on an address.
    Router(RouterSettings settings, Net::Reactor &reactor, RouterDependencies dependencies,
        Logging::LogSink &logSink);

    /// Listeners for changes of the table service's rows. Any thread may call them.
    Platform::ChangeListener &serverListSubscriber() { return m_serverListSubscriber; }
    Platform::ChangeListener &configurationSubscriber() { return m_configurationSubscriber; }
    Platform::ChangeListener &evacuationSubscriber() { return m_evacuationSubscriber; }

    /// Starts all periodic work. Call once.
    void start();

    /// Applies the limits and times of settings that were read again. Addresses and the other
    /// settings take effect only after a restart. Settings with errors change nothing.
    void applySettings(const ParsedRouterSettings &parsed);

    /// Leaves the fleet so that callers connect to other instances, finishes requests in flight,
    /// returns tokens, and then stops the reactor.
    void shutDown();

private:
    static Membership::Member makeOwnMember(const RouterSettings &settings);
    void onConfiguration(const ConfigurationSubscriber::Pointer &configuration);
    std::vector<Entries::EntryCandidate> entryCandidates() const;
    EntryResponse entryResponseFor(const Forwarding::EntryQuery &query);
    void updateEntryPlan();
    Forwarding::CallerLimits limits() const;
    CallerPolicy callerPolicy() const;
    /// Returns the policy of an address other than the one for callers' requests.
    CallerPolicy policyOf(const std::string &address, std::size_t maxConnections) const;
    std::string peerAddressOf(const Base::InstanceName &name) const;
    void onPeerMessage(const Peer::PeerEnvelope &envelope);
    Membership::MembershipEvents membershipEvents();
    void sendServerList(const Base::InstanceId &to);
    void startColdServerLimit();
    std::vector<Base::InstanceId> permitCandidates() const;
    void requestServerList();
    void measureLoad();
    void runMaintenance();
    void measureDelay();
    void startMetricsListener();
    std::string metricsPage() const;
    void writeBufferMetrics(Metrics::PrometheusWriter &writer) const;
    void writeEvacuationMetrics(Metrics::PrometheusWriter &writer) const;
    void writeColdServerMetrics(Metrics::PrometheusWriter &writer) const;
    void writeEntryMetrics(Metrics::PrometheusWriter &writer) const;
    void writeServerTimeMetrics(Metrics::PrometheusWriter &writer) const;
    void writePeerMetrics(Metrics::PrometheusWriter &writer) const;
    void awaitActiveExchanges(Base::Milliseconds deadline);
    void returnTokens(Base::Milliseconds deadline);

    RouterSettings m_settings;
    Net::Reactor &m_reactor;
    RouterDependencies m_dependencies;
    Base::RandomEngine m_random;
    const Membership::Member m_self;
    Logging::Logger m_log;
    Peer::AuthenticatedCodec m_codec;
    Forwarding::ServerPool m_serverPool;
    Forwarding::RetryBudget m_retryBudget;
    BacklogBroadcaster m_backlogBroadcaster;
    GossipReportTransport m_promptReportTransport;
    QuarantineStore m_quarantineStore;
    PromptGuard m_promptGuard;
    ColdPermitStore m_coldPermits;
    RouterMetrics m_metrics;
    const std::shared_ptr<DescriptorBudget> m_descriptors;
    mutable CallerRefusals m_refusals;
    BufferAccount m_buffers;
    HeldBuffer m_peerBuffer;
    ServerConnectionPool m_serverConnections;
    Transport::TcpPeerTransport m_peerTransport;
    Budget::AllotmentHolder m_allotments;
    AllotmentLogger m_allotmentLogger;
    ExchangeContext m_context;
    ServerListSubscriber m_serverListSubscriber;
    ConfigurationSubscriber m_configurationSubscriber;
    GossipEvacuationTransport m_evacuationTransport;
    EvacuationSubscriber m_evacuationSubscriber;
    Configuration::ConfigurationRelay m_configurationRelay;
    std::unique_ptr<Membership::Membership> m_membership;
    Transport::UdpGossipTransport m_gossipTransport;
    Entries::EntryPlanner m_entryPlanner;
    ForwardHandler m_forwardHandler;
    EntryHandler m_entryHandler;
    CallerListener m_callerListener;
    CallerListener m_readinessListener;
    CallerListener m_entryListener;
    MetricsHandler m_metricsHandler;
    /// Null if no address is set or listening on it failed.
    std::unique_ptr<CallerListener> m_metricsListener;
    Base::Milliseconds m_loadMeasuredAt;
    std::uint64_t m_exchangesAtMeasurement = 0;
    double m_requestsPerSecond = 0;
    bool m_isShuttingDown = false;
    Base::Milliseconds m_shutdownDeadline;
};

} // namespace Carawaykeel::Ingress
