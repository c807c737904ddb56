#include <Carawaykeel/Instance/Instance.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Instance {

namespace {

constexpr Base::Milliseconds ShutdownPollInterval{50};

/// Returns the number of instances that share a service's tokens-per-minute limit, at least one.
std::int64_t instanceCount(const Configuration::Declaration &declaration)
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(declaration.entryVms.size()));
}

/// Dispatches each kind of peer message to the component that handles it.
class PeerMessageDispatcher
{
public:
    PeerMessageDispatcher(Instance &instance, const Base::InstanceId &from)
        : m_instance(instance)
        , m_from(from)
    {
    }

    void operator()(const Peer::RecordReservation &message)
    {
        m_instance.witness().onRecordReservation(m_from, message);
    }
    void operator()(const Peer::ReservationRecorded &message)
    {
        m_instance.grantHolder().onReservationRecorded(message);
    }
    void operator()(const Peer::RecordSettlement &message)
    {
        m_instance.witness().onRecordSettlement(m_from, message);
    }
    void operator()(const Peer::SettlementRecorded &message)
    {
        m_instance.grantHolder().onSettlementRecorded(message);
    }
    void operator()(const Peer::ForgetReservations &message)
    {
        m_instance.witness().onForgetReservations(message);
    }
    void operator()(const Peer::RecallTokens &message)
    {
        m_instance.grantHolder().onRecallTokens(m_from, message);
    }
    void operator()(const Peer::TokensReturned &message)
    {
        m_instance.grantHolder().onTokensReturned(m_from, message);
    }
    void operator()(const Peer::QueryRequestStatus &message)
    {
        m_instance.requestCoordinator().onQueryRequestStatus(m_from, message);
    }
    void operator()(const Peer::RequestStatusReply &message)
    {
        m_instance.requestCoordinator().onRequestStatusReply(m_from, message);
    }
    void operator()(const Peer::OfferConfiguration &message)
    {
        m_instance.configuration().onOffer(m_from, message);
    }
    void operator()(const Peer::FetchConfiguration &message)
    {
        m_instance.configuration().onFetchRequest(m_from, message);
    }
    void operator()(const Peer::DeliverConfiguration &message)
    {
        m_instance.configuration().onDelivery(message);
    }
    // Instances that hold grants neither lend nor borrow tokens.
    void operator()(const Peer::BorrowTokens &) { }
    void operator()(const Peer::TokensLent &) { }
    void operator()(const Peer::LoanRepayment &) { }
    void operator()(const Peer::TransferTokens &) { }
    // Instances that hold grants get their servers from the declaration.
    void operator()(const Peer::FetchServers &) { }
    void operator()(const Peer::DeliverServers &) { }

private:
    Instance &m_instance;
    const Base::InstanceId &m_from;
};

} // namespace

Instance::Instance(InstanceSettings settings, Base::Scheduler &scheduler,
    Platform::TableService &table, Peer::PeerTransport &peers, Membership::GossipTransport &gossip,
    Budget::AttemptLookup &attemptLookup, Base::RandomEngine &random, InstanceEvents events)
    : m_settings(std::move(settings))
    , m_tableBreaker(table, scheduler, random)
    , m_context{m_settings.self.id, scheduler, m_tableBreaker, peers, random}
    , m_events(std::move(events))
    , m_membership(m_settings.self, m_settings.seeds, m_settings.membership, scheduler, random,
          gossip,
          {[this](const Base::InstanceId &from, std::uint64_t version) {
               m_configuration.onVersionAnnounced(from, version);
           },
              [this](const Base::ServerName &server) { markServerLeaving(server); },
              [this](const Base::InstanceId &instance) { m_events.onInstanceFailed(instance); }})
    , m_dispatcher(scheduler, random, m_settings.routing)
    , m_grantHolder(m_context, m_settings.budget, m_membership, m_membership)
    , m_witness(m_context)
    , m_reclaimer(m_context, m_settings.budget, m_witness, m_membership, attemptLookup)
    , m_configuration(m_context, m_settings.configurationInterval,
          [this](std::uint64_t version, const Configuration::Declaration &declaration) {
              onConfiguration(version, declaration);
          })
    , m_requestIdIssuer(m_context.self, m_settings.requestIdSecret, m_settings.requestIdValidity)
    , m_requestCoordinator(m_context, m_grantHolder, m_dispatcher, m_requestIdIssuer,
          [this](const Base::TeamId &team) { return teamPeers(team); })
{
    m_requestCoordinator.rejectAll(Base::ErrorKind::Starting);
}

void Instance::start()
{
    m_membership.start();
    m_configuration.start();
    m_grantHolder.start();
    m_reclaimer.start();
}

void Instance::onPeerMessage(const Peer::PeerEnvelope &envelope)
{
    std::visit(PeerMessageDispatcher(*this, envelope.from), envelope.message);
}

void Instance::onGossip(const Membership::GossipMessage &message)
{
    m_membership.onMessage(message);
}

void Instance::onConfiguration(std::uint64_t version, const Configuration::Declaration &declaration)
{
    m_membership.setConfigurationVersion(version);
    for (const auto &budget : declaration.budgets) {
        std::vector<Budget::TopUpOrder> orders;
        for (const auto &topUp : budget.topUps)
            orders.push_back({topUp.id, topUp.tokens});
        m_grantHolder.topUps().setDeclared(budget.id, std::move(orders));
    }
    m_declaredLeaving = {declaration.leavingServers.begin(), declaration.leavingServers.end()};
    m_dispatcher.setEvacuatedDataCentres(
        {declaration.evacuatedDataCentres.begin(), declaration.evacuatedDataCentres.end()});
    applyServices(declaration);
    applyLeavingServers();
    if (!m_isShuttingDown)
        m_requestCoordinator.acceptAll();
    m_events.onConfiguration(version, declaration);
}

void Instance::applyServices(const Configuration::Declaration &declaration)
{
    std::set<Base::ServiceName> names;
    for (const auto &service : declaration.services) {
        names.insert(service.name);
        m_dispatcher.setService(service.name, service.servers,
            service.tokensPerMinuteLimit / instanceCount(declaration));
    }
    m_dispatcher.retainServices(names);
}

void Instance::applyLeavingServers()
{
    auto leaving = m_declaredLeaving;
    leaving.insert(m_reportedLeaving.begin(), m_reportedLeaving.end());
    m_dispatcher.setLeavingServers(leaving);
}

void Instance::markServerLeaving(const Base::ServerName &server)
{
    if (!m_reportedLeaving.insert(server).second)
        return;
    m_membership.announceLeavingServer(server);
    applyLeavingServers();
}

EntryInstances Instance::entryInstancesFor(const Base::TeamId &team) const
{
    auto members = m_membership.servingMembers();
    const auto seed = Routing::hashText(team.text());
    std::sort(members.begin(), members.end(), [&](const auto &left, const auto &right) {
        return Routing::rendezvousWeight(seed, left.id.name.text())
            > Routing::rendezvousWeight(seed, right.id.name.text());
    });
    // The best member of each data centre precedes any second member of one, so that every data
    // centre holds tokens of the team during a network partition. The own data centre comes first.
    std::set<Base::DataCentre> coveredDataCentres;
    std::vector<Membership::Member> selected;
    std::vector<Membership::Member> others;
    for (auto &member : members) {
        (coveredDataCentres.insert(member.dataCentre).second ? selected : others)
            .push_back(std::move(member));
    }
    const auto &own = m_settings.self.dataCentre;
    std::stable_partition(selected.begin(), selected.end(),
        [&](const auto &member) { return member.dataCentre == own; });
    selected.insert(selected.end(), others.begin(), others.end());
    selected.resize(std::min(selected.size(), m_settings.instancesPerTeam));
    return {std::move(selected), m_settings.entryCacheTime};
}

std::vector<Base::InstanceId> Instance::teamPeers(const Base::TeamId &team) const
{
    std::vector<Base::InstanceId> peers;
    for (const auto &member : entryInstancesFor(team).members) {
        if (member.id != m_context.self)
            peers.push_back(member.id);
    }
    return peers;
}

void Instance::shutDown(Base::Milliseconds timeout, std::function<void(bool)> callback)
{
    if (m_isShuttingDown)
        return;
    m_isShuttingDown = true;
    m_membership.announceLeaving();
    const auto deadline = m_context.scheduler.now() + timeout;
    // Callers may use a cached response of GET /v1/entry, so requests are accepted until the cache
    // time has passed.
    m_context.scheduler.schedule(m_settings.entryCacheTime, [this, deadline, callback] {
        m_requestCoordinator.rejectAll(Base::ErrorKind::ShuttingDown);
        waitForRequests(deadline, callback);
    });
}

void Instance::waitForRequests(Base::Milliseconds deadline, std::function<void(bool)> callback)
{
    const bool hasTimedOut = m_context.scheduler.now() >= deadline;
    if (m_requestCoordinator.inFlightCount() == 0 || hasTimedOut)
        return returnGrants(deadline, std::move(callback));
    m_context.scheduler.schedule(
        ShutdownPollInterval, [this, deadline, callback] { waitForRequests(deadline, callback); });
}

void Instance::returnGrants(Base::Milliseconds deadline, std::function<void(bool)> callback)
{
    auto isCalled = std::make_shared<bool>(false);
    auto once = [isCalled, callback = std::move(callback)](bool isComplete) {
        if (std::exchange(*isCalled, true))
            return;
        callback(isComplete);
    };
    m_grantHolder.returnAll(once);
    const auto remaining = std::max(Base::Milliseconds(), deadline - m_context.scheduler.now());
    m_context.scheduler.schedule(remaining, [once] { once(false); });
}

} // namespace Carawaykeel::Instance
