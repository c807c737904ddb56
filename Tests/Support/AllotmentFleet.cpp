#include <Support/AllotmentFleet.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

Base::TeamId teamOf(int team)
{
    return Base::TeamId("team-" + std::to_string(team));
}

std::int64_t tokensIn(const Peer::PeerMessage &message)
{
    if (const auto *lent = std::get_if<Peer::TokensLent>(&message))
        return lent->tokens.count();
    if (const auto *repayment = std::get_if<Peer::LoanRepayment>(&message))
        return repayment->tokens.count();
    if (const auto *transfer = std::get_if<Peer::TransferTokens>(&message))
        return transfer->tokens.count();
    return 0;
}

} // namespace

/// One incarnation of an instance, with its own clock, which stops while the instance is paused,
/// and its tasks, which end with it.
class AllotmentFleet::Incarnation : public Base::Scheduler,
                                    public Peer::PeerTransport,
                                    public Budget::AllotmentObserver,
                                    public std::enable_shared_from_this<Incarnation>
{
public:
    Incarnation(AllotmentFleet &fleet, Base::InstanceId id)
        : m_fleet(fleet)
        , m_id(std::move(id))
    {
    }

    void start()
    {
        m_client = std::make_unique<FakeTableClient>(m_fleet.m_world, m_fleet.m_table,
            m_id.name.text(), [weak = weak_from_this()](std::function<void()> task) {
                if (const auto self = weak.lock())
                    self->schedule(Base::Milliseconds(), std::move(task));
            });
        m_random.seed(m_id.incarnation);
        m_holder = std::make_unique<Budget::AllotmentHolder>(
            m_id, *this, *m_client, *this, [this] { return m_fleet.peersOf(m_id); },
            Budget::AllotmentPolicy(), m_random);
        m_fleet.m_network.attach(m_id.name.text(),
            {[weak = weak_from_this()](const Peer::PeerEnvelope &envelope) {
                 if (const auto self = weak.lock()) {
                     self->schedule(
                         Base::Milliseconds(), [self, envelope] { self->receive(envelope); });
                 }
             },
                {}});
        m_holder->setObserver(*this);
        m_holder->start();
    }

    void onTableReachabilityChanged(bool) override { }
    void onAllotmentClosed(const Base::TeamId &, const Budget::Allotment &, Base::Tokens) override
    {
    }
    void onReportFailed(Platform::CommitOutcome, int, Base::Milliseconds) override { }
    void onOverdrawn(const Base::TeamId &, Base::Tokens, Base::Tokens, std::uint64_t) override
    {
        ++m_fleet.m_overdrafts;
    }

    Base::Milliseconds now() const override
    {
        const auto world = m_fleet.m_world.now();
        return std::min(world, m_pausedUntil > world ? m_pausedSince : world) - m_totalPause;
    }

    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_fleet.m_world.schedule(
            delay, [weak = weak_from_this(), task = std::move(task)]() mutable {
                if (const auto self = weak.lock())
                    self->runTask(std::move(task));
            });
    }

    void send(const Base::InstanceId &to, Peer::PeerMessage message) override
    {
        m_fleet.m_tokensInMessages += tokensIn(message);
        m_fleet.m_network.sendPeer({m_id, to, std::move(message)});
    }

    void pause(Base::Milliseconds span)
    {
        const auto world = m_fleet.m_world.now();
        if (world < m_pausedUntil)
            return;
        m_pausedSince = world;
        m_pausedUntil = world + span;
        m_fleet.m_world.schedule(span, [weak = weak_from_this(), span] {
            if (const auto self = weak.lock())
                self->m_totalPause += span;
        });
    }

    void kill()
    {
        m_isAlive = false;
        m_fleet.m_network.detach(m_id.name.text());
    }

    /// Counts tokens that requests hold and will not use, and that come back when they end.
    void addUnusedHold(int team, std::int64_t tokens) { m_unusedHolds[team] += tokens; }
    std::int64_t tokensInMemory(int team) const
    {
        const auto it = m_unusedHolds.find(team);
        return m_holder->tokensAtHand(teamOf(team)).count()
            + (it == m_unusedHolds.end() ? 0 : it->second);
    }

    bool isAlive() const { return m_isAlive; }
    const Base::InstanceId &id() const { return m_id; }
    Budget::AllotmentHolder &holder() { return *m_holder; }

private:
    void runTask(std::function<void()> task)
    {
        if (!m_isAlive)
            return;
        const auto world = m_fleet.m_world.now();
        if (world < m_pausedUntil)
            return schedule(m_pausedUntil - world, std::move(task));
        task();
    }

    void receive(const Peer::PeerEnvelope &envelope)
    {
        if (envelope.to != m_id)
            return;
        m_fleet.m_tokensInMessages -= tokensIn(envelope.message);
        if (const auto *borrow = std::get_if<Peer::BorrowTokens>(&envelope.message))
            m_holder->lending().onBorrowTokens(envelope.from, *borrow);
        if (const auto *lent = std::get_if<Peer::TokensLent>(&envelope.message))
            m_holder->lending().onTokensLent(envelope.from, *lent);
        if (const auto *repayment = std::get_if<Peer::LoanRepayment>(&envelope.message))
            m_holder->lending().onLoanRepayment(envelope.from, *repayment);
        if (const auto *transfer = std::get_if<Peer::TransferTokens>(&envelope.message))
            m_holder->onTokensTransferred(envelope.from, *transfer);
    }

    AllotmentFleet &m_fleet;
    const Base::InstanceId m_id;
    Base::RandomEngine m_random;
    std::unique_ptr<FakeTableClient> m_client;
    std::unique_ptr<Budget::AllotmentHolder> m_holder;
    bool m_isAlive = true;
    std::map<int, std::int64_t> m_unusedHolds;
    Base::Milliseconds m_pausedSince;
    Base::Milliseconds m_pausedUntil;
    Base::Milliseconds m_totalPause;
};

AllotmentFleet::AllotmentFleet(VirtualWorld &world, int instances, std::int64_t prepaid, int teams)
    : m_world(world)
    , m_table(world)
    , m_network(world)
    , m_instances(static_cast<std::size_t>(instances))
    , m_prepaid(prepaid)
    , m_used(static_cast<std::size_t>(teams))
{
    startAll();
}

AllotmentFleet::~AllotmentFleet() = default;

void AllotmentFleet::start(int instance)
{
    auto incarnation = std::make_shared<Incarnation>(
        *this, Base::InstanceId{Base::InstanceName(nameOf(instance)), ++m_lastIncarnation});
    m_instances.at(static_cast<std::size_t>(instance)) = incarnation;
    incarnation->start();
    incarnation->holder().setPrepaid(prepaidByTeam());
}

std::vector<Budget::PrepaidTokens> AllotmentFleet::prepaidByTeam() const
{
    std::vector<Budget::PrepaidTokens> prepaid;
    for (int team = 0; team < teamCount(); ++team)
        prepaid.push_back({teamOf(team), Base::Tokens(m_prepaid)});
    return prepaid;
}

std::vector<Base::InstanceId> AllotmentFleet::peersOf(const Base::InstanceId &self) const
{
    std::vector<Base::InstanceId> peers;
    for (const auto &incarnation : m_instances) {
        if (incarnation && incarnation->isAlive() && incarnation->id() != self)
            peers.push_back(incarnation->id());
    }
    return peers;
}

void AllotmentFleet::kill(int instance)
{
    m_instances.at(static_cast<std::size_t>(instance))->kill();
}

void AllotmentFleet::killAll()
{
    for (const auto &incarnation : m_instances)
        incarnation->kill();
}

void AllotmentFleet::startAll()
{
    for (std::size_t n = 0; n < m_instances.size(); ++n)
        start(static_cast<int>(n));
}

bool AllotmentFleet::isAlive(int instance) const
{
    return m_instances.at(static_cast<std::size_t>(instance))->isAlive();
}

void AllotmentFleet::pause(int instance, Base::Milliseconds span)
{
    m_instances.at(static_cast<std::size_t>(instance))->pause(span);
}

void AllotmentFleet::topUp(std::int64_t tokens)
{
    m_prepaid += tokens;
    setTeamCount(teamCount());
}

void AllotmentFleet::setTeamCount(int teams)
{
    m_used.resize(static_cast<std::size_t>(teams));
    for (const auto &incarnation : m_instances)
        incarnation->holder().setPrepaid(prepaidByTeam());
}

Budget::AllotmentHolder &AllotmentFleet::holder(int instance)
{
    return m_instances.at(static_cast<std::size_t>(instance))->holder();
}

std::int64_t AllotmentFleet::tokensInMemory(int team) const
{
    std::int64_t sum = 0;
    for (const auto &incarnation : m_instances)
        sum += incarnation->isAlive() ? incarnation->tokensInMemory(team) : 0;
    return sum;
}

void AllotmentFleet::request(int instance, std::int64_t tokens, int team)
{
    hold(instance, tokens, team, [this, tokens] {
        const auto used = m_world.draw(tokens / 2, tokens);
        return RequestUse{used, Base::Milliseconds(m_world.draw(50, 3'000))};
    });
}

void AllotmentFleet::requestUsing(
    int instance, std::int64_t tokens, std::int64_t used, Base::Milliseconds span, int team)
{
    hold(instance, tokens, team, [used, span] { return RequestUse{used, span}; });
}

void AllotmentFleet::hold(
    int instance, std::int64_t tokens, int team, std::function<RequestUse()> drawUse)
{
    const auto incarnation = m_instances.at(static_cast<std::size_t>(instance));
    incarnation->schedule(
        Base::Milliseconds(), [this, incarnation, tokens, team, drawUse = std::move(drawUse)] {
            incarnation->holder().hold(teamOf(team), Base::Tokens(tokens),
                [this, incarnation, team, drawUse](Base::Outcome<Budget::TokenHold> outcome) {
                    onHold(incarnation, team, drawUse, std::move(outcome));
                });
        });
}

void AllotmentFleet::onHold(const std::shared_ptr<Incarnation> &incarnation, int team,
    const std::function<RequestUse()> &drawUse, Base::Outcome<Budget::TokenHold> outcome)
{
    if (const auto *failure = std::get_if<Base::Failure>(&outcome)) {
        ++(failure->kind == Base::ErrorKind::BudgetExhausted ? m_counts.exhausted
                                                             : m_counts.unavailable);
        return;
    }
    ++m_counts.granted;
    // The tokens count as used even if the instance dies.
    const auto use = drawUse();
    m_used.at(static_cast<std::size_t>(team)) += use.tokens;
    const auto hold = std::get<Budget::TokenHold>(outcome);
    const auto unused = hold.tokens.count() - use.tokens;
    incarnation->addUnusedHold(team, unused);
    incarnation->schedule(use.span, [incarnation, hold, use, team, unused] {
        incarnation->addUnusedHold(team, -unused);
        incarnation->holder().settle(hold, Base::Tokens(use.tokens));
    });
}

} // namespace Carawaykeel::Tests
