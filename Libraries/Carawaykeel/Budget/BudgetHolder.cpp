#include <Carawaykeel/Budget/BudgetHolder.h>

#include <Carawaykeel/Base/Verify.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr int SettlementTries = 5;
/// Grants are refilled when they cover less than this fraction of the expected use over the
/// horizon.
constexpr std::int64_t RefillNumerator = 7;
constexpr std::int64_t RefillDenominator = 8;
/// A grant is closed when less than its amount divided by this is left and another grant can be
/// used.
constexpr std::int64_t SpentDivisor = 16;
constexpr int RecallTries = 4;

Base::Failure refusal(Base::ErrorKind kind)
{
    const bool isExhausted = kind == Base::ErrorKind::BudgetExhausted;
    return {kind,
        isExhausted ? "the budget has too few tokens left for this request"
                    : "the budget's tokens cannot be reached now",
        isExhausted ? Base::Milliseconds() : Base::Milliseconds(1'000)};
}

} // namespace

BudgetHolder::BudgetHolder(Base::InstanceContext &context, const BudgetPolicy &policy,
    WitnessChooser &witnesses, const LifeOracle &lives)
    : m_context(context)
    , m_policy(policy)
    , m_witnesses(witnesses)
    , m_lives(lives)
    , m_topUps(context, m_policy)
    , m_acquirer(context, m_policy, m_book)
    , m_returner(context, m_policy, m_book)
    , m_flusher(context, m_policy, m_book)
{
}

void BudgetHolder::start()
{
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { upkeep(); });
}

void BudgetHolder::reserve(
    ReservationRequest request, std::function<void(Base::Outcome<Reservation>)> answer)
{
    if (m_isHandingBack)
        return answer(refusal(Base::ErrorKind::BudgetUnreachable));
    serveAgain(request, std::move(answer), m_context.scheduler.now() + m_policy.grantDeadline);
}

void BudgetHolder::serveAgain(const ReservationRequest &request,
    std::function<void(Base::Outcome<Reservation>)> answer, Base::Milliseconds deadline)
{
    auto &account = m_accounts[request.budget];
    Waiting waiting{request, std::move(answer), deadline};
    const bool isFirst = account.waiting.empty();
    if (isFirst && tryServe(waiting, false))
        return;
    account.waiting.push_back(std::move(waiting));
    pump(request.budget);
}

bool BudgetHolder::tryServe(Waiting &waiting, bool acceptsLess)
{
    const auto &request = waiting.request;
    if (auto *grant = findGrant(request.budget, request.wanted)) {
        begin(*grant, request.wanted, waiting);
        return true;
    }
    if (!acceptsLess)
        return false;
    auto *grant = findGrant(request.budget, request.least);
    if (!grant)
        return false;
    begin(*grant, std::min(request.wanted, grant->unreserved()), waiting);
    return true;
}

HeldGrant *BudgetHolder::findGrant(const Base::BudgetId &budget, Base::Tokens tokens)
{
    for (auto *grant : m_book.ofBudget(budget)) {
        if (grant->isUsable() && grant->unreserved() >= tokens)
            return grant;
    }
    return nullptr;
}

void BudgetHolder::begin(HeldGrant &grant, Base::Tokens tokens, Waiting &waiting)
{
    const auto number = ++m_numbers;
    HeldReservation held;
    held.request = waiting.request;
    held.tokens = tokens;
    held.answer = std::move(waiting.answer);
    held.deadline = waiting.deadline;
    grant.reserved += tokens;
    grant.lastUsed = m_context.scheduler.now();
    grant.reservations.emplace(number, std::move(held));
    Base::verify(
        grant.unreserved() >= Base::Tokens(), "a grant is never reserved beyond its amount");
    askWitness(grant.id, number);
}

void BudgetHolder::askWitness(const Base::GrantId &id, std::uint64_t number)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Asked)
        return;
    auto &held = it->second;
    if (held.tries++ >= m_policy.witnessTries)
        return loseWitness(id);
    const auto &request = held.request;
    m_context.peers.send(grant->row.witness,
        Peer::RecordReservation{id, request.budget, number, request.team, request.request,
            request.service, held.tokens});
    m_context.scheduler.schedule(
        m_policy.witnessTimeout, [this, id, number] { askWitness(id, number); });
}

void BudgetHolder::loseWitness(const Base::GrantId &id)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return;
    if (!grant->isSuspended)
        ++m_counters.witnessLost;
    grant->isSuspended = true;
    grant->suspendedSince = m_context.scheduler.now();
    moveAskedElsewhere(*grant);
}

void BudgetHolder::moveAskedElsewhere(HeldGrant &grant)
{
    std::vector<HeldReservation> asked;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, held] : grant.reservations) {
        if (held.phase != ReservationPhase::Asked)
            continue;
        numbers.push_back(number);
        asked.push_back({held.request, held.tokens, held.phase, 0, std::move(held.answer),
            held.deadline, std::nullopt, false, {}});
    }
    for (const auto number : numbers)
        dropReservation(grant, number);
    for (auto &held : asked)
        serveAgain(held.request, std::move(held.answer), held.deadline);
}

void BudgetHolder::dropReservation(HeldGrant &grant, std::uint64_t number)
{
    const auto it = grant.reservations.find(number);
    if (it == grant.reservations.end())
        return;
    sendSettlement(grant, number, it->second);
    grant.reserved -= it->second.tokens;
    grant.reservations.erase(it);
}

void BudgetHolder::onRecorded(const Peer::ReservationRecorded &message)
{
    auto *grant = m_book.find(message.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(message.reservation);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Asked)
        return;
    if (!message.isAccepted) {
        grant->state = GrantState::Retiring;
        return moveAskedElsewhere(*grant);
    }
    it->second.phase = ReservationPhase::Recorded;
    ++m_counters.reserved;
    auto answer = std::move(it->second.answer);
    answer(Reservation{message.grant, message.reservation, it->second.tokens});
}

void BudgetHolder::settle(
    const Reservation &reservation, Base::Tokens used, std::function<void(bool)> whenSafe)
{
    auto *grant = m_book.find(reservation.grant);
    // If the grant was closed by another instance, that instance has billed its reservations.
    if (!grant)
        return whenSafe(true);
    const auto it = grant->reservations.find(reservation.number);
    Base::verify(it != grant->reservations.end() && it->second.phase == ReservationPhase::Recorded,
        "only a recorded reservation is settled, and only once");
    Base::verify(used <= it->second.tokens, "no more is settled than was reserved");
    auto &held = it->second;
    held.phase = ReservationPhase::Settled;
    held.bill = Billing::Bill{held.request.team, held.request.request, held.request.budget,
        reservation.grant, reservation.number, used, false};
    held.whenSafe.push_back(std::move(whenSafe));
    m_accounts[held.request.budget].rate.note(used, m_context.scheduler.now());
    grant->reserved -= held.tokens;
    grant->unflushed += used;
    resendSettlement(reservation.grant, reservation.number, SettlementTries);
}

void BudgetHolder::sendSettlement(
    const HeldGrant &grant, std::uint64_t number, const HeldReservation &held)
{
    const bool hasRun = held.bill.has_value();
    m_context.peers.send(grant.row.witness,
        Peer::RecordSettlement{grant.id, number, hasRun, hasRun ? *held.bill : Billing::Bill()});
}

void BudgetHolder::resendSettlement(const Base::GrantId &id, std::uint64_t number, int triesLeft)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.isSafe || triesLeft <= 0)
        return;
    sendSettlement(*grant, number, it->second);
    m_context.scheduler.schedule(m_policy.witnessTimeout,
        [this, id, number, triesLeft] { resendSettlement(id, number, triesLeft - 1); });
}

void BudgetHolder::onSettlementRecorded(const Peer::SettlementRecorded &message)
{
    auto *grant = m_book.find(message.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(message.reservation);
    if (it == grant->reservations.end())
        return;
    it->second.isSafe = true;
    auto callbacks = std::move(it->second.whenSafe);
    it->second.whenSafe.clear();
    for (auto &callback : callbacks)
        callback(true);
}

void BudgetHolder::cancel(const Reservation &reservation)
{
    auto *grant = m_book.find(reservation.grant);
    if (!grant)
        return;
    dropReservation(*grant, reservation.number);
    pump(grant->row.budget);
}

void BudgetHolder::pump(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    while (!account.waiting.empty()) {
        auto first = std::move(account.waiting.front());
        account.waiting.pop_front();
        if (tryServe(first, account.rounds > 0))
            continue;
        account.waiting.push_front(std::move(first));
        break;
    }
    if (!account.waiting.empty() && account.step == Step::Idle)
        acquire(budget);
}

void BudgetHolder::acquire(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    const auto &first = account.waiting.front().request;
    auto grants = missingGrants(budget, account);
    if (grants.empty() || m_context.scheduler.now() >= account.waiting.front().deadline) {
        refuseFirst(account, Base::ErrorKind::BudgetUnreachable);
        return pump(budget);
    }
    const auto needed = account.rounds > 0 ? first.least : first.wanted;
    startAcquiring(budget, {budget, needed, std::move(grants)});
}

void BudgetHolder::startAcquiring(const Base::BudgetId &budget, AcquireRequest request)
{
    m_accounts[budget].step = Step::Acquiring;
    m_topUps.ensureDeclared(budget, [this, request = std::move(request)](bool isReached) {
        if (!isReached)
            return onAcquired(request.budget, AcquireOutcome::Unreachable, Base::Tokens());
        m_acquirer.acquire(
            request, [this, request](AcquireOutcome outcome, Base::Tokens available) {
                onAcquired(request.budget, outcome, available);
            });
    });
}

std::vector<WantedGrant> BudgetHolder::missingGrants(const Base::BudgetId &budget, Account &account)
{
    const auto wanted = wantedSize(budget, account);
    Base::Tokens far;
    Base::Tokens near;
    for (const auto *grant : m_book.ofBudget(budget)) {
        if (grant->isUsable())
            (grant->isNear ? near : far) += grant->unreserved();
    }
    const auto witnesses = m_witnesses.chooseWitnesses();
    std::vector<WantedGrant> missing;
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        const bool isNear = n > 0;
        const auto held = isNear ? near : far;
        // A queued request needs a grant even if the horizon is covered.
        const bool isNeeded = !isNear && !account.waiting.empty();
        if (isNeeded || held < wanted * RefillNumerator / RefillDenominator) {
            missing.push_back(
                {witnesses[n], std::max(wanted - held, m_policy.smallestGrant), isNear});
        }
    }
    return missing;
}

void BudgetHolder::onAcquired(
    const Base::BudgetId &budget, AcquireOutcome outcome, Base::Tokens available)
{
    auto &account = m_accounts[budget];
    account.step = Step::Idle;
    if (account.waiting.empty()) {
        account.rounds = 0;
        return;
    }
    const auto &first = account.waiting.front().request;
    switch (outcome) {
    case AcquireOutcome::Acquired:
        ++m_counters.grantsTaken;
        pump(budget);
        account.rounds = 0;
        return;
    case AcquireOutcome::RowIsShort:
        if (account.rounds == 0 && available >= first.least) {
            account.rounds = 1;
            return acquire(budget);
        }
        if (account.rounds < m_policy.recallRounds)
            return recall(budget);
        refuseFirst(account, Base::ErrorKind::BudgetExhausted);
        break;
    case AcquireOutcome::BudgetIsShort:
        if (account.rounds == 0 && first.least < first.wanted) {
            account.rounds = 1;
            return acquire(budget);
        }
        [[fallthrough]];
    case AcquireOutcome::NoSuchBudget:
        refuseFirst(account, Base::ErrorKind::BudgetExhausted);
        break;
    case AcquireOutcome::Unreachable:
        refuseFirst(account, Base::ErrorKind::BudgetUnreachable);
        break;
    }
    account.rounds = 0;
    pump(budget);
}

void BudgetHolder::refuseFirst(Account &account, Base::ErrorKind kind)
{
    auto answer = std::move(account.waiting.front().answer);
    account.waiting.pop_front();
    const bool isExhausted = kind == Base::ErrorKind::BudgetExhausted;
    ++(isExhausted ? m_counters.refusedExhausted : m_counters.refusedUnreachable);
    answer(refusal(kind));
}

void BudgetHolder::recall(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    ++account.rounds;
    ++m_counters.recalls;
    account.step = Step::Recalling;
    const auto round = ++m_rounds;
    account.recallRound = round;
    account.recallOpen.clear();
    for (const auto &peer : m_witnesses.livePeers()) {
        account.recallOpen.insert(peer.name);
        m_context.peers.send(peer, Peer::RecallTokens{budget, round});
    }
    account.recallOpen.insert(m_context.self.name);
    onRecall(m_context.self, {budget, round});
    m_context.scheduler.schedule(
        m_policy.recallTimeout, [this, budget, round] { finishRecall(budget, round); });
}

void BudgetHolder::finishRecall(const Base::BudgetId &budget, std::uint64_t round)
{
    auto &account = m_accounts[budget];
    if (account.step != Step::Recalling || account.recallRound != round)
        return;
    account.step = Step::Idle;
    pump(budget);
}

void BudgetHolder::onRecall(const Base::InstanceId &from, const Peer::RecallTokens &message)
{
    auto open = std::make_shared<std::size_t>(1);
    auto countDown = [this, from, message, open](bool) {
        if (--*open > 0)
            return;
        const Peer::TokensReturned reply{message.budget, message.round};
        if (from == m_context.self)
            return onReturned(from, reply);
        m_context.peers.send(from, reply);
    };
    for (auto *grant : m_book.ofBudget(message.budget)) {
        ++*open;
        returnWhenFree(grant->id, RecallTries, countDown);
    }
    countDown(true);
}

void BudgetHolder::returnWhenFree(
    const Base::GrantId &id, int triesLeft, std::function<void(bool)> answer)
{
    m_returner.returnTokens(id, Base::Tokens(), [this, id, triesLeft, answer](bool isDone) {
        if (isDone || triesLeft <= 1)
            return answer(isDone);
        m_context.scheduler.schedule(m_policy.smallestBackOff,
            [this, id, triesLeft, answer] { returnWhenFree(id, triesLeft - 1, answer); });
    });
}

void BudgetHolder::onReturned(const Base::InstanceId &from, const Peer::TokensReturned &message)
{
    const auto it = m_accounts.find(message.budget);
    if (it == m_accounts.end() || it->second.recallRound != message.round)
        return;
    it->second.recallOpen.erase(from.name);
    if (it->second.recallOpen.empty())
        finishRecall(message.budget, message.round);
}

void BudgetHolder::upkeep()
{
    m_flusher.flush([this](bool) { ++m_counters.flushes; });
    tidyGrants();
    m_acquirer.resolve();
    if (!m_isHandingBack)
        acquireAhead();
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { upkeep(); });
}

void BudgetHolder::tidyGrants()
{
    for (auto *grant : m_book.all())
        tidyGrant(*grant);
}

void BudgetHolder::tidyGrant(HeldGrant &grant)
{
    const auto now = m_context.scheduler.now();
    // A grant may be unused for long while other grants of its budget are used; it is idle only if
    // the whole budget is idle.
    const auto use = m_accounts[grant.row.budget].rate.expected(m_policy.horizon, now);
    const bool isIdle = use == Base::Tokens() && now - grant.lastUsed > m_policy.idleReturn
        && grant.reservations.empty();
    const auto witness = m_lives.livenessOf(grant.row.witness);
    if (witness == Liveness::CertainlyDead)
        grant.state = GrantState::Retiring;
    if (isSpent(grant))
        grant.state = GrantState::Retiring;
    const auto silence = now - grant.suspendedSince;
    if (grant.isSuspended && silence >= m_policy.witnessPause && witness == Liveness::Alive)
        grant.isSuspended = false;
    const bool isGivenUp = grant.isSuspended && silence >= m_policy.suspension;
    // An idle grant, or one whose witness is unresponsive, retires only after its tokens were
    // returned, so that it stays usable while the table is unreachable.
    if (grant.state != GrantState::Retiring && !isGivenUp && !isIdle)
        return;
    m_returner.returnTokens(grant.id, Base::Tokens(), [this, id = grant.id](bool isDone) {
        auto *returned = m_book.find(id);
        if (isDone && returned)
            returned->state = GrantState::Retiring;
    });
}

bool BudgetHolder::isSpent(const HeldGrant &grant)
{
    if (!grant.isUsable() || grant.unreserved() * SpentDivisor >= grant.row.amount)
        return false;
    const auto others = m_book.ofBudget(grant.row.budget);
    return std::any_of(others.begin(), others.end(), [&](const HeldGrant *other) {
        return other->id != grant.id && other->isUsable() && other->isNear == grant.isNear
            && other->unreserved() > grant.unreserved();
    });
}

void BudgetHolder::acquireAhead()
{
    for (auto &[budget, account] : m_accounts) {
        const bool isInUse =
            account.rate.expected(m_policy.horizon, m_context.scheduler.now()) > Base::Tokens();
        const auto now = m_context.scheduler.now();
        const bool isFree =
            account.step == Step::Idle && account.waiting.empty() && now >= account.nextAhead;
        if (!isInUse || !isFree)
            continue;
        auto grants = missingGrants(budget, account);
        if (grants.empty())
            continue;
        account.nextAhead = now + m_policy.aheadPause;
        if (m_book.ofBudget(budget).size() >= m_policy.grantsAhead) {
            mergeSmallest(budget, grants.front().isNear);
        } else {
            startAcquiring(budget, {budget, Base::Tokens(), std::move(grants)});
        }
    }
}

void BudgetHolder::mergeSmallest(const Base::BudgetId &budget, bool isNear)
{
    // Returns the smallest grant; the next acquisition takes its tokens together with what is
    // missing.
    HeldGrant *smallest = nullptr;
    for (auto *grant : m_book.ofBudget(budget)) {
        if (!grant->isUsable() || grant->isNear != isNear)
            continue;
        if (!smallest || grant->unreserved() < smallest->unreserved())
            smallest = grant;
    }
    if (!smallest)
        return;
    m_returner.returnTokens(smallest->id, Base::Tokens(), [this, id = smallest->id](bool isDone) {
        auto *returned = m_book.find(id);
        if (isDone && returned)
            returned->state = GrantState::Retiring;
    });
}

void BudgetHolder::handBack(std::function<void(bool)> answer)
{
    m_isHandingBack = true;
    tryHandBack(std::move(answer));
}

void BudgetHolder::tryHandBack(std::function<void(bool)> answer)
{
    m_acquirer.resolve();
    if (m_book.all().empty() && !m_acquirer.hasUnresolved())
        return answer(true);
    // A pending acquisition that takes effect now is only returned again.
    for (auto *grant : m_book.all())
        grant->state = GrantState::Retiring;
    m_flusher.flush([this, answer](bool) {
        tidyGrants();
        m_context.scheduler.schedule(
            m_policy.smallestBackOff, [this, answer] { tryHandBack(answer); });
    });
}

Base::Tokens BudgetHolder::wantedSize(const Base::BudgetId &budget, Account &account)
{
    const auto forHorizon = account.rate.expected(m_policy.horizon, m_context.scheduler.now());
    // Adds the tokens reserved now: the unused parts of reservations become available again only
    // when they are settled.
    Base::Tokens reserved;
    for (const auto *grant : m_book.ofBudget(budget))
        reserved += grant->reserved;
    return std::max(forHorizon + reserved, m_policy.smallestGrant);
}

} // namespace Carawaykeel::Budget
