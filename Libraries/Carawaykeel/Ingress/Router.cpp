#include <Carawaykeel/Ingress/Router.h>

#include <Carawaykeel/Base/Incarnation.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

constexpr Base::Milliseconds MaintenanceInterval{500};
/// Weight of the latest interval in the moving average of the requests per second.
constexpr double LoadWeight = 0.3;
constexpr double MillisecondsPerSecond = 1'000;
/// Maximum length of a message between instances. The longest carry a configuration with many
/// routes.
constexpr std::size_t MaxFrameBytes = 4 * 1'024 * 1'024;
/// How long an instance still accepts new requests after its shutdown has started: callers that do
/// not know of the shutdown yet still use its address.
constexpr Base::Milliseconds AcceptTimeDuringShutdown{2'500};
/// Time from the start of the shutdown until idle connections of callers are closed.
constexpr Base::Milliseconds IdleCloseDelay{300};
constexpr Base::Milliseconds DrainPollInterval{50};
/// Part of the shutdown timeout that is reserved for returning tokens.
constexpr Base::Milliseconds TokenReturnTime{1'200};
/// Part of the shutdown timeout that is reserved for the end of the process.
constexpr Base::Milliseconds ExitTime{300};

std::vector<std::string> gossipSeeds(const RouterSettings &settings)
{
    const Poco::Net::SocketAddress ownAddress(settings.gossipAddress);
    std::vector<std::string> seeds;
    for (const auto &seed : settings.seeds) {
        const auto host = Poco::Net::SocketAddress(seed).host();
        if (host != ownAddress.host())
            seeds.push_back(Poco::Net::SocketAddress(host, ownAddress.port()).toString());
    }
    return seeds;
}

} // namespace

Membership::Member Router::makeOwnMember(const RouterSettings &settings)
{
    Membership::Member self;
    self.id = {settings.name, Base::generateIncarnation()};
    self.dataCentre = settings.dataCentre;
    self.vm = settings.name.text();
    self.gossipAddress = settings.gossipAddress;
    self.peerAddress = settings.peerAddress;
    self.callerAddress = settings.callerAddress;
    self.capacity = settings.capacity;
    return self;
}

Router::Router(RouterSettings settings, Net::Reactor &reactor, RouterDependencies dependencies,
    Logging::LogSink &logSink)
    : m_settings(std::move(settings))
    , m_reactor(reactor)
    , m_dependencies(std::move(dependencies))
    , m_random(std::random_device{}())
    , m_self(makeOwnMember(m_settings))
    , m_log(m_self.id, logSink)
    , m_codec(m_settings.peerKey)
    , m_serverPool(m_settings.dataCentre, m_settings.serverSelection, m_random)
    , m_retryBudget(m_settings.retries, reactor.now())
    , m_backlogBroadcaster(reactor, m_serverPool,
          [this](const auto &backlogs) { m_membership->sendBacklogs(backlogs); })
    , m_promptReportTransport(m_membership)
    , m_quarantineStore(m_dependencies.table, reactor, m_random)
    , m_promptGuard(reactor, m_promptReportTransport, m_quarantineStore, m_random, m_log)
    , m_coldPermits(
          m_self.id, m_dependencies.table, reactor, m_serverPool,
          [this] { return permitCandidates(); }, m_log)
    , m_descriptors(std::make_shared<DescriptorBudget>(m_settings.maxDescriptors))
    , m_refusals(m_log)
    , m_buffers(m_settings.bufferLimit, reactor, m_log)
    , m_peerBuffer(m_buffers, BufferKind::Other)
    , m_serverConnections(reactor, m_dependencies.dialect, m_buffers, m_descriptors)
    , m_peerTransport(
          m_self.id, m_settings.peerAddress, MaxFrameBytes, m_codec, reactor, m_log,
          [this](const Base::InstanceName &name) { return peerAddressOf(name); },
          [this](const Peer::PeerEnvelope &envelope) { onPeerMessage(envelope); })
    , m_allotments(
          m_self.id, reactor, m_dependencies.table, m_peerTransport,
          [this] { return m_membership->livePeers(); }, m_settings.allotments, m_random)
    , m_allotmentLogger(m_log)
    , m_context{reactor, m_dependencies.dialect, m_serverPool, m_retryBudget, m_backlogBroadcaster,
          m_promptGuard, m_metrics, m_serverConnections, m_buffers, m_allotments, m_log, m_random,
          nullptr, false, 0}
    , m_serverListSubscriber(
          reactor, m_serverPool, m_dependencies.serverDecoder,
          [this](const Base::ServerName &serverIncarnation) {
              m_membership->announceLeavingServer(serverIncarnation);
          },
          m_log)
    , m_configurationSubscriber(
          m_dependencies.configurationKey, reactor, m_dependencies.configurationDecoder,
          [this](const auto &configuration) { onConfiguration(configuration); }, m_log)
    , m_evacuationTransport(m_membership)
    , m_evacuationSubscriber(
          m_dependencies.evacuationKeyPrefix, reactor, m_serverPool, m_evacuationTransport,
          [this] { m_serverConnections.withdrawDisallowedRequests(); }, m_log)
    , m_configurationRelay(reactor, m_peerTransport)
    , m_gossipTransport(m_settings.gossipAddress, m_codec, reactor,
          [this](const Membership::GossipMessage &message) { m_membership->onMessage(message); })
    , m_entryPlanner({}, m_random)
    , m_forwardHandler(m_context)
    , m_entryHandler(
          m_dependencies.dialect,
          [this](const Forwarding::EntryQuery &query) { return entryResponseFor(query); },
          [this] {
              return m_context.configuration && !m_serverListSubscriber.isEmpty()
                  && !m_isShuttingDown;
          })
    , m_callerListener(
          reactor, m_settings.callerAddress, m_forwardHandler, [this] { return limits(); },
          callerPolicy(), m_buffers)
    , m_readinessListener(
          reactor, m_settings.readinessAddress, m_entryHandler, [this] { return limits(); },
          policyOf("readiness", m_descriptors->maxProbes()), m_buffers)
    , m_entryListener(
          reactor, m_settings.entryAddress, m_entryHandler, [this] { return limits(); },
          policyOf("entry", m_descriptors->maxEntries()), m_buffers)
    , m_metricsHandler(m_dependencies.dialect, [this] { return metricsPage(); })
{
    if (m_dependencies.memory)
        m_buffers.setResidentMemory(*m_dependencies.memory, m_settings.residentLimit);
    m_membership = std::make_unique<Membership::Membership>(m_self, gossipSeeds(m_settings),
        Membership::MembershipPolicy(), reactor, m_random, m_gossipTransport, membershipEvents());
}

std::string Router::peerAddressOf(const Base::InstanceName &name) const
{
    const auto &members = m_membership->members();
    const auto it = members.find(name);
    return it == members.end() ? std::string() : it->second.peerAddress;
}

void Router::onPeerMessage(const Peer::PeerEnvelope &envelope)
{
    const auto &from = envelope.from;
    if (const auto *request = std::get_if<Peer::BorrowTokens>(&envelope.message))
        return m_allotments.lending().onBorrowTokens(from, *request);
    if (const auto *lent = std::get_if<Peer::TokensLent>(&envelope.message))
        return m_allotments.lending().onTokensLent(from, *lent);
    if (const auto *repayment = std::get_if<Peer::LoanRepayment>(&envelope.message))
        return m_allotments.lending().onLoanRepayment(from, *repayment);
    if (const auto *transfer = std::get_if<Peer::TransferTokens>(&envelope.message))
        return m_allotments.onTokensTransferred(from, *transfer);
    if (const auto *delivery = std::get_if<Peer::DeliverConfiguration>(&envelope.message))
        return m_configurationSubscriber.onReceivedFromPeer(delivery->version, delivery->document);
    if (const auto *delivery = std::get_if<Peer::DeliverServers>(&envelope.message))
        return m_serverListSubscriber.onReceivedFromPeer(delivery->servers);
    if (std::holds_alternative<Peer::FetchServers>(envelope.message))
        return sendServerList(from);
    if (const auto *request = std::get_if<Peer::FetchConfiguration>(&envelope.message)) {
        const auto version = m_configurationSubscriber.version();
        const auto &document = m_configurationSubscriber.document();
        const bool isSent = m_configurationRelay.onFetchRequest(from, *request, version, document);
        m_log.info(isSent ? LogEvent::ConfigurationSent : LogEvent::ConfigurationNotSent,
            LogFields()
                .add("to", from.name.text())
                .add("their_version", request->version)
                .add("version", version)
                .add("bytes", document.size()));
        return;
    }
    if (std::holds_alternative<Peer::OfferConfiguration>(envelope.message))
        return m_configurationRelay.onFetchRefused(from);
    m_log.warn(LogEvent::PeerMessageUnexpected,
        LogFields().add("from", from.name.text()).add("kind", envelope.message.index()));
}

void Router::start()
{
    m_log.info(LogEvent::Started,
        LogFields()
            .add("callers", m_settings.callerAddress)
            .add("entry", m_settings.entryAddress)
            .add("gossip", m_settings.gossipAddress)
            .add("data_centre", m_settings.dataCentre.text()));
    m_reactor.setFailureObserver([this](std::string_view reason) {
        m_log.warn(LogEvent::HandlerFailed, LogFields().add("reason", reason));
    });
    m_allotments.setObserver(m_allotmentLogger);
    startMetricsListener();
    m_membership->start();
    m_allotments.start();
    m_promptGuard.start();
    startColdServerLimit();
    m_context.delays.setLinkRate(m_settings.linkMbps);
    measureDelay();
    runMaintenance();
}

void Router::onConfiguration(const ConfigurationSubscriber::Pointer &configuration)
{
    const auto previous = std::exchange(m_context.configuration, configuration);
    m_membership->setConfigurationVersion(configuration->version());
    m_serverPool.coldServers().setConfiguration(configuration);
    for (const auto &[name, service] : configuration->services())
        m_serverPool.setMemoryCapacity(name, service.memoryTokens);
    std::vector<Budget::PrepaidTokens> prepaid;
    for (const auto &team : configuration->teams()) {
        if (!team.prepaidTokens)
            continue;
        prepaid.push_back({team.name, *team.prepaidTokens});
        const auto *previousTeam = previous ? previous->findTeamByName(team.name) : nullptr;
        if (!previousTeam || previousTeam->prepaidTokens != team.prepaidTokens) {
            m_log.info(LogEvent::Prepaid,
                LogFields()
                    .add("team", team.name.text())
                    .add("tokens", team.prepaidTokens->count())
                    .add("configuration", configuration->version()));
        }
    }
    m_allotments.setPrepaid(prepaid);
}

void Router::measureLoad()
{
    const auto now = m_reactor.now();
    const auto elapsed = static_cast<double>((now - m_loadMeasuredAt).count());
    const auto started = static_cast<double>(m_context.startedExchanges - m_exchangesAtMeasurement);
    if (elapsed <= 0)
        return;
    m_loadMeasuredAt = now;
    m_exchangesAtMeasurement = m_context.startedExchanges;
    m_requestsPerSecond +=
        LoadWeight * (started * MillisecondsPerSecond / elapsed - m_requestsPerSecond);
    m_membership->setLoad(static_cast<std::uint32_t>(std::lround(m_requestsPerSecond)));
}

void Router::measureDelay()
{
    m_context.delays.onTick(m_reactor.now());
    m_reactor.schedule(DelayAccount::TickInterval, [this] { measureDelay(); });
}

void Router::runMaintenance()
{
    measureLoad();
    m_peerBuffer.set(m_peerTransport.bufferedBytes());
    m_buffers.measure();
    std::vector<std::string> addresses;
    for (const auto &server : m_serverPool.servers())
        addresses.push_back(server.entry.address);
    m_serverConnections.closeExpired(addresses);
    // An instance that is partitioned from the others still finds some of them in the table.
    m_retryBudget.setInstanceCount(
        static_cast<int>(std::max(m_membership->knownInstances(), m_allotments.maxHoldersSeen())));
    const bool isLargeFleet =
        m_membership->knownInstances() > Membership::MembershipPolicy().maxBacklogReceivers;
    m_backlogBroadcaster.setMinInterval(
        isLargeFleet ? BacklogBroadcaster::LargeFleetInterval : Base::Milliseconds());
    updateEntryPlan();
    requestServerList();
    m_reactor.schedule(MaintenanceInterval, [this] { runMaintenance(); });
}

void Router::applySettings(const ParsedRouterSettings &parsed)
{
    if (!parsed.errors.empty()) {
        m_log.warn(LogEvent::SettingsRefused,
            LogFields()
                .add("faults", parsed.errors.size())
                .add("reason", Configuration::formatErrors(parsed.errors, "settings")));
        return;
    }
    const auto &settings = parsed.settings;
    m_settings.entryCacheTime = settings.entryCacheTime;
    m_settings.shutdownTimeout = settings.shutdownTimeout;
    m_settings.retries = settings.retries;
    m_retryBudget.setPolicy(settings.retries);
    m_log.info(LogEvent::SettingsReloaded,
        LogFields()
            .add("retry_ratio", settings.retries.ratio)
            .add("retry_slack", settings.retries.slack)
            .add("entry_keep_ms", settings.entryCacheTime.count())
            .add("shut_down_limit_ms", settings.shutdownTimeout.count()));
}

void Router::shutDown()
{
    if (std::exchange(m_isShuttingDown, true))
        return;
    m_log.info(LogEvent::Leaving, LogFields().add("active", m_context.activeExchanges));
    m_membership->announceLeaving();
    m_forwardHandler.startDraining();
    m_reactor.schedule(IdleCloseDelay, [this] { m_callerListener.closeIdle(); });
    m_shutdownDeadline = m_reactor.now() + m_settings.shutdownTimeout;
    m_reactor.schedule(AcceptTimeDuringShutdown, [this] {
        m_context.isRejectingRequests = true;
        awaitActiveExchanges(m_shutdownDeadline - TokenReturnTime);
    });
}

void Router::awaitActiveExchanges(Base::Milliseconds deadline)
{
    const bool hasTimedOut = m_reactor.now() >= deadline;
    // A request has ended for the router before a slow caller has taken its whole response.
    const bool isBusy = m_context.activeExchanges > 0 || m_callerListener.unsentCount() > 0;
    if (isBusy && !hasTimedOut) {
        m_reactor.schedule(DrainPollInterval, [this, deadline] { awaitActiveExchanges(deadline); });
        return;
    }
    m_callerListener.stopAccepting();
    returnTokens(
        std::max(m_shutdownDeadline - ExitTime, m_reactor.now() + TokenReturnTime - ExitTime));
}

void Router::returnTokens(Base::Milliseconds deadline)
{
    m_allotments.returnAll([this](bool isReturned) {
        m_log.info(LogEvent::Left,
            LogFields().add("handed_back", isReturned).add("active", m_context.activeExchanges));
        m_reactor.stop();
    });
    m_reactor.schedule(deadline - m_reactor.now(), [this] {
        m_log.warn(LogEvent::Left,
            LogFields().add("handed_back", false).add("active", m_context.activeExchanges));
        m_reactor.stop();
    });
}

} // namespace Carawaykeel::Ingress
