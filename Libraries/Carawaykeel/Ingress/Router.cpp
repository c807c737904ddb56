#include <Carawaykeel/Ingress/Router.h>

#include <Carawaykeel/Base/Incarnation.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <random>
#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

constexpr Base::Milliseconds TidyInterval{500};
/// Longest message between instances: a configuration with many routes.
constexpr std::size_t MostFrameBytes = 4 * 1'024 * 1'024;
/// After it was told to end, an instance takes new requests for so long: callers that have not
/// heard of it yet keep its address.
constexpr Base::Milliseconds ServeWhileLeaving{2'500};
/// Idle connections of callers are closed this long after the instance was told to end.
constexpr Base::Milliseconds CloseIdleAfter{300};
constexpr Base::Milliseconds LeavePollInterval{50};
/// What is left of the time to end for handing tokens back.
constexpr Base::Milliseconds HandBackTime{1'200};

std::vector<std::string> gossipSeeds(const RouterSettings &settings)
{
    const Poco::Net::SocketAddress own(settings.gossipAddress);
    std::vector<std::string> seeds;
    for (const auto &seed : settings.seeds) {
        const auto host = Poco::Net::SocketAddress(seed).host();
        if (host != own.host())
            seeds.push_back(Poco::Net::SocketAddress(host, own.port()).toString());
    }
    return seeds;
}

} // namespace

Membership::Member Router::describeSelf(const RouterSettings &settings)
{
    Membership::Member self;
    self.id = {settings.name, Base::generateIncarnation()};
    self.dataCentre = settings.dataCentre;
    self.vm = settings.name.text();
    self.gossipAddress = settings.gossipAddress;
    self.peerAddress = settings.peerAddress;
    self.callerAddress = settings.callerAddress;
    return self;
}

Router::Router(RouterSettings settings, Net::Reactor &reactor, RouterDependencies interfaces,
    Logging::LogSink &logSink)
    : m_settings(std::move(settings))
    , m_reactor(reactor)
    , m_interfaces(std::move(interfaces))
    , m_random(std::random_device{}())
    , m_self(describeSelf(m_settings))
    , m_log(m_self.id, logSink)
    , m_codec(m_settings.peerKey)
    , m_servers(m_settings.dataCentre, m_settings.serverSelection, m_random)
    , m_retries(m_settings.retries, reactor.now())
    , m_backlogs(reactor, m_servers,
          [this](const auto &backlogs) { m_membership->sendBacklogs(backlogs); })
    , m_connections(reactor, m_interfaces.dialect)
    , m_peers(
          m_self.id, m_settings.peerAddress, MostFrameBytes, m_codec, reactor,
          [this](const Base::InstanceName &name) { return peerAddressOf(name); },
          [this](const Peer::PeerEnvelope &envelope) { onPeerMessage(envelope); })
    , m_allotments(
          m_self.id, reactor, m_interfaces.table, m_peers,
          [this] { return m_membership->livePeers(); }, m_settings.allotments, m_random)
    , m_allotmentLog(m_log)
    , m_context{reactor, m_interfaces.dialect, m_servers, m_retries, m_backlogs, m_metrics,
          m_connections, m_allotments, m_log, m_random, nullptr, false, 0}
    , m_serverChanges(
          reactor, m_servers, m_interfaces.serverDecoder,
          [this](const Base::ServerName &life) { m_membership->announceLeavingServer(life); },
          m_log)
    , m_configurationChanges(
          m_interfaces.configurationKey, reactor, m_interfaces.configurationDecoder,
          [this](const auto &configuration) { onConfiguration(configuration); }, m_log)
    , m_gossip(m_settings.gossipAddress, m_codec, reactor,
          [this](const Membership::GossipMessage &message) { m_membership->onMessage(message); })
    , m_forward(m_context)
    , m_entry(
          m_interfaces.dialect,
          [this](const Forwarding::EntryQuery &question) { return entriesFor(question); },
          [this] { return m_context.configuration && !m_serverChanges.isEmpty() && !m_isLeaving; })
    , m_callers(
          reactor, m_settings.callerAddress, m_forward, [this] { return limits(); },
          m_settings.maxConnections)
    , m_readyQuestions(
          reactor, m_settings.readinessAddress, m_entry, [this] { return limits(); },
          m_settings.maxConnections)
    , m_entryQuestions(
          reactor, m_settings.entryAddress, m_entry, [this] { return limits(); },
          m_settings.maxConnections)
    , m_metricsHandler(m_interfaces.dialect, [this] { return metricsPage(); })
{
    m_membership = std::make_unique<Membership::Membership>(m_self, gossipSeeds(m_settings),
        Membership::MembershipPolicy(), reactor, m_random, m_gossip, membershipEvents());
}

Membership::MembershipEvents Router::membershipEvents()
{
    Membership::MembershipEvents events;
    events.onConfigurationVersion = [this](const Base::InstanceId &from, std::uint64_t version) {
        if (version > m_configurationChanges.version())
            m_peers.send(from, Peer::FetchConfiguration{m_configurationChanges.version()});
    };
    events.onServerLeaving = [this](const Base::ServerName &life) {
        m_serverChanges.onPeerReportedLeaving(life);
    };
    events.onBacklogs = [this](const Base::InstanceName &from,
                            std::span<const Forwarding::ServerBacklog> backlogs) {
        m_servers.onPeerBacklogs(from, backlogs, m_reactor.now());
    };
    events.onMemberFailed = [this](const Base::InstanceId &missed) {
        m_log.warn(LogEvent::InstanceMissed,
            LogFields()
                .add("missed", missed.name.text())
                .add("missed_incarnation", missed.incarnation));
    };
    return events;
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
    if (const auto *ask = std::get_if<Peer::BorrowTokens>(&envelope.message))
        return m_allotments.lending().onBorrowTokens(from, *ask);
    if (const auto *lent = std::get_if<Peer::TokensLent>(&envelope.message))
        return m_allotments.lending().onTokensLent(from, *lent);
    if (const auto *loan = std::get_if<Peer::LoanReturned>(&envelope.message))
        return m_allotments.lending().onLoanReturned(from, *loan);
    if (const auto *passed = std::get_if<Peer::TransferTokens>(&envelope.message))
        return m_allotments.onTokensTransferred(from, *passed);
    if (const auto *delivery = std::get_if<Peer::DeliverConfiguration>(&envelope.message))
        return m_configurationChanges.onReceivedFromPeer(delivery->document);
    if (const auto *delivery = std::get_if<Peer::DeliverServers>(&envelope.message))
        return m_serverChanges.onReceivedFromPeer(delivery->servers);
    if (std::holds_alternative<Peer::FetchServers>(envelope.message)) {
        Peer::DeliverServers delivery;
        for (const auto &server : m_servers.servers())
            delivery.servers.push_back(server.entry);
        if (!delivery.servers.empty())
            m_peers.send(from, std::move(delivery));
        return;
    }
    if (std::holds_alternative<Peer::FetchConfiguration>(envelope.message)) {
        if (m_configurationChanges.version() > 0) {
            m_peers.send(from,
                Peer::DeliverConfiguration{
                    m_configurationChanges.version(), m_configurationChanges.document()});
        }
        return;
    }
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
    m_allotments.setObserver(m_allotmentLog);
    listenForMetrics();
    m_membership->start();
    m_allotments.start();
    tidy();
}

void Router::onConfiguration(const ConfigurationSubscriber::Pointer &configuration)
{
    const auto before = std::exchange(m_context.configuration, configuration);
    m_membership->setConfigurationVersion(configuration->version());
    std::vector<Budget::PrepaidTokens> prepaid;
    for (const auto &team : configuration->teams()) {
        if (!team.prepaidTokens)
            continue;
        prepaid.push_back({team.name, *team.prepaidTokens});
        const auto *known = before ? before->findTeamByName(team.name) : nullptr;
        if (!known || known->prepaidTokens != team.prepaidTokens) {
            m_log.info(LogEvent::Prepaid,
                LogFields()
                    .add("team", team.name.text())
                    .add("tokens", team.prepaidTokens->count())
                    .add("configuration", configuration->version()));
        }
    }
    m_allotments.setPrepaid(prepaid);
}

Forwarding::CallerLimits Router::limits() const
{
    return m_context.configuration ? m_context.configuration->limits() : Forwarding::CallerLimits();
}

EntryResponse Router::entriesFor(const Forwarding::EntryQuery &question) const
{
    EntryResponse near;
    EntryResponse all;
    // Callers of many data centres would be sent to the few instances that are known by now.
    if (!m_membership->hasJoined())
        return all;
    for (const auto &member : m_membership->servingMembers()) {
        all.addresses.push_back(member.callerAddress);
        if (member.dataCentre == question.dataCentre)
            near.addresses.push_back(member.callerAddress);
    }
    near.cacheTime = all.cacheTime = m_settings.entryCacheTime;
    // One instance alone would leave its callers without another address when it fails.
    constexpr std::size_t FewestNear = 2;
    auto &answer = near.addresses.size() >= FewestNear ? near : all;
    m_log.routineInfo(LogEvent::EntryAnswered,
        LogFields()
            .add("data_centre", question.dataCentre.text())
            .add("addresses", answer.addresses.size())
            .add("serving", all.addresses.size())
            .add("known", m_membership->knownInstances()));
    return answer;
}

void Router::askForServers()
{
    const auto peers = m_membership->livePeers();
    if (!m_serverChanges.isEmpty() || peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> draw(0, peers.size() - 1);
    m_peers.send(peers.at(draw(m_random)), Peer::FetchServers());
}

void Router::tidy()
{
    std::vector<std::string> addresses;
    for (const auto &server : m_servers.servers())
        addresses.push_back(server.entry.address);
    m_connections.closeExpired(addresses);
    // An instance that is cut off from the others still reads of some of them in the table.
    m_retries.setInstanceCount(
        static_cast<int>(std::max(m_membership->knownInstances(), m_allotments.maxHoldersSeen())));
    askForServers();
    m_reactor.schedule(TidyInterval, [this] { tidy(); });
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
    m_retries.setPolicy(settings.retries);
    m_log.info(LogEvent::SettingsReloaded,
        LogFields()
            .add("retry_ratio", settings.retries.ratio)
            .add("retry_slack", settings.retries.slack)
            .add("entry_keep_ms", settings.entryCacheTime.count())
            .add("shut_down_limit_ms", settings.shutdownTimeout.count()));
}

void Router::shutDown()
{
    if (std::exchange(m_isLeaving, true))
        return;
    m_log.info(LogEvent::Leaving, LogFields().add("active", m_context.activeExchanges));
    m_membership->announceLeaving();
    m_forward.startDraining();
    m_reactor.schedule(CloseIdleAfter, [this] { m_callers.closeIdle(); });
    m_reactor.schedule(ServeWhileLeaving, [this] {
        m_context.isRejectingRequests = true;
        awaitRequests(
            m_reactor.now() + m_settings.shutdownTimeout - ServeWhileLeaving - HandBackTime);
    });
}

void Router::awaitRequests(Base::Milliseconds deadline)
{
    const bool isTimeUp = m_reactor.now() >= deadline;
    if (m_context.activeExchanges > 0 && !isTimeUp) {
        m_reactor.schedule(LeavePollInterval, [this, deadline] { awaitRequests(deadline); });
        return;
    }
    m_callers.stopAccepting();
    handBack(m_reactor.now() + HandBackTime * 3 / 4);
}

void Router::handBack(Base::Milliseconds deadline)
{
    m_allotments.returnAll([this](bool isHandedBack) {
        m_log.info(LogEvent::Left,
            LogFields().add("handed_back", isHandedBack).add("active", m_context.activeExchanges));
        m_reactor.stop();
    });
    m_reactor.schedule(deadline - m_reactor.now(), [this] { m_reactor.stop(); });
}

} // namespace Carawaykeel::Ingress
