#include <Carawaykeel/Instance/Instance.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Instance {

namespace {

constexpr Base::Milliseconds ShutDownPoll{50};

/// Budgets whose callers get a minute's ceiling split among this many instances at least.
std::int64_t instanceCount(const Configuration::Declaration &declaration)
{
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(declaration.entryVms.size()));
}

/// Hands each kind of message to the decision that it is for.
class MessageRouter
{
public:
    MessageRouter(Instance &instance, const Base::InstanceId &from)
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
    void operator()(const Peer::AskRequest &message)
    {
        m_instance.requests().onAsk(m_from, message);
    }
    void operator()(const Peer::TellRequest &message)
    {
        m_instance.requests().onTell(m_from, message);
    }
    void operator()(const Peer::OfferConfiguration &message)
    {
        m_instance.configuration().onVersionAnnounced(m_from, message.version);
    }
    void operator()(const Peer::FetchConfiguration &message)
    {
        m_instance.configuration().onFetchRequest(m_from, message);
    }
    void operator()(const Peer::DeliverConfiguration &message)
    {
        m_instance.configuration().onDelivery(message);
    }
    // Instances that hold grants neither lend nor borrow.
    void operator()(const Peer::BorrowTokens &) { }
    void operator()(const Peer::TokensLent &) { }
    void operator()(const Peer::LoanReturned &) { }
    void operator()(const Peer::TransferTokens &) { }
    // Their servers come with the declaration.
    void operator()(const Peer::FetchServers &) { }
    void operator()(const Peer::DeliverServers &) { }

private:
    Instance &m_instance;
    const Base::InstanceId &m_from;
};

} // namespace

Instance::Instance(InstanceSettings settings, Base::Scheduler &scheduler,
    Platform::TableService &table, Peer::PeerTransport &peers, Membership::GossipTransport &gossip,
    Budget::AttemptLookup &attempts, Base::RandomEngine &random, InstanceEvents events)
    : m_settings(std::move(settings))
    , m_circuit(table, scheduler, random)
    , m_context{m_settings.self.id, scheduler, m_circuit, peers, random}
    , m_events(std::move(events))
    , m_membership(m_settings.self, m_settings.seeds, m_settings.membership, scheduler, random,
          gossip,
          {[this](const Base::InstanceId &from, std::uint64_t version) {
               m_configuration.onVersionAnnounced(from, version);
           },
              [this](const Base::ServerName &server) { markServerLeaving(server); },
              [this](const Base::InstanceId &missed) { m_events.onInstanceFailed(missed); }})
    , m_dispatcher(scheduler, random, m_settings.routing)
    , m_budgets(m_context, m_settings.budget, m_membership, m_membership)
    , m_witness(m_context)
    , m_reclaimer(m_context, m_settings.budget, m_witness, m_membership, attempts)
    , m_configuration(m_context, m_settings.configurationInterval,
          [this](std::uint64_t version, const Configuration::Declaration &declaration) {
              onConfiguration(version, declaration);
          })
    , m_mint(m_context.self, m_settings.requestIdSecret, m_settings.requestIdValidity)
    , m_requests(m_context, m_budgets, m_dispatcher, m_mint,
          [this](const Base::TeamId &team) { return teamPeers(team); })
{
    m_requests.refuseAll(Base::ErrorKind::Starting);
}

void Instance::start()
{
    m_membership.start();
    m_configuration.start();
    m_budgets.start();
    m_reclaimer.start();
}

void Instance::onPeerMessage(const Peer::PeerEnvelope &envelope)
{
    std::visit(MessageRouter(*this, envelope.from), envelope.message);
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
        m_budgets.topUps().setDeclared(budget.id, std::move(orders));
    }
    m_declaredLeaving = {declaration.leavingServers.begin(), declaration.leavingServers.end()};
    applyServices(declaration);
    applyLeaving();
    if (!m_isShuttingDown)
        m_requests.acceptAll();
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

void Instance::applyLeaving()
{
    auto leaving = m_declaredLeaving;
    leaving.insert(m_saidLeaving.begin(), m_saidLeaving.end());
    m_dispatcher.setLeavingServers(leaving);
}

void Instance::markServerLeaving(const Base::ServerName &server)
{
    if (!m_saidLeaving.insert(server).second)
        return;
    m_membership.announceLeavingServer(server);
    applyLeaving();
}

EntryInstances Instance::entryInstancesFor(const Base::TeamId &team) const
{
    auto members = m_membership.servingMembers();
    const auto seed = Routing::hashText(team.text());
    std::sort(members.begin(), members.end(), [&](const auto &left, const auto &right) {
        return Routing::rendezvousWeight(seed, left.id.name.text())
            > Routing::rendezvousWeight(seed, right.id.name.text());
    });
    // The best of each data centre comes before any second one, so that each data centre holds
    // tokens of the team when it is cut off; the own one comes first.
    std::set<Base::DataCentre> covered;
    std::vector<Membership::Member> chosen;
    std::vector<Membership::Member> rest;
    for (auto &member : members)
        (covered.insert(member.dataCentre).second ? chosen : rest).push_back(std::move(member));
    const auto &own = m_settings.self.dataCentre;
    std::stable_partition(
        chosen.begin(), chosen.end(), [&](const auto &member) { return member.dataCentre == own; });
    chosen.insert(chosen.end(), rest.begin(), rest.end());
    chosen.resize(std::min(chosen.size(), m_settings.instancesPerTeam));
    return {std::move(chosen), m_settings.entryCacheTime};
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

void Instance::shutDown(Base::Milliseconds limit, std::function<void(bool)> answer)
{
    if (m_isShuttingDown)
        return;
    m_isShuttingDown = true;
    m_membership.announceLeaving();
    const auto deadline = m_context.scheduler.now() + limit;
    // Callers may keep an old answer of GET /v1/entry, so they are served that long.
    m_context.scheduler.schedule(m_settings.entryCacheTime, [this, deadline, answer] {
        m_requests.refuseAll(Base::ErrorKind::ShuttingDown);
        waitForRequests(deadline, answer);
    });
}

void Instance::waitForRequests(Base::Milliseconds deadline, std::function<void(bool)> answer)
{
    const bool isTimeUp = m_context.scheduler.now() >= deadline;
    if (m_requests.inFlightCount() == 0 || isTimeUp)
        return handBack(deadline, std::move(answer));
    m_context.scheduler.schedule(
        ShutDownPoll, [this, deadline, answer] { waitForRequests(deadline, answer); });
}

void Instance::handBack(Base::Milliseconds deadline, std::function<void(bool)> answer)
{
    auto isAnswered = std::make_shared<bool>(false);
    auto once = [isAnswered, answer = std::move(answer)](bool isDone) {
        if (std::exchange(*isAnswered, true))
            return;
        answer(isDone);
    };
    m_budgets.returnAll(once);
    const auto left = std::max(Base::Milliseconds(), deadline - m_context.scheduler.now());
    m_context.scheduler.schedule(left, [once] { once(false); });
}

} // namespace Carawaykeel::Instance
