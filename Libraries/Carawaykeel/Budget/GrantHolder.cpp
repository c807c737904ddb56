#include <Carawaykeel/Budget/GrantHolder.h>

#include <Carawaykeel/Base/Verify.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr int SettlementTries = 5;
/// Grants are refilled when less than this part of the horizon's use is held.
constexpr std::int64_t RefillNumerator = 7;
constexpr std::int64_t RefillDenominator = 8;
/// A grant with less than one part in this many left is closed once another can be used.
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

GrantHolder::GrantHolder(Base::InstanceContext &context, const BudgetPolicy &policy,
    WitnessSelector &witnesses, const FailureDetector &lives)
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

void GrantHolder::start()
{
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { upkeep(); });
}

void GrantHolder::reserve(
    ReservationRequest request, std::function<void(Base::Outcome<Reservation>)> answer)
{
    if (m_isHandingBack)
        return answer(refusal(Base::ErrorKind::BudgetUnavailable));
    serveAgain(request, std::move(answer), m_context.scheduler.now() + m_policy.grantDeadline);
}

void GrantHolder::serveAgain(const ReservationRequest &request,
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

bool GrantHolder::tryServe(Waiting &waiting, bool acceptsLess)
{
    const auto &request = waiting.request;
    if (auto *grant = findGrant(request.budget, request.requested)) {
        begin(*grant, request.requested, waiting);
        return true;
    }
    if (!acceptsLess)
        return false;
    auto *grant = findGrant(request.budget, request.minimum);
    if (!grant)
        return false;
    begin(*grant, std::min(request.requested, grant->unreserved()), waiting);
    return true;
}

HeldGrant *GrantHolder::findGrant(const Base::BudgetId &budget, Base::Tokens tokens)
{
    for (auto *grant : m_book.findByBudget(budget)) {
        if (grant->isUsable() && grant->unreserved() >= tokens)
            return grant;
    }
    return nullptr;
}

void GrantHolder::begin(HeldGrant &grant, Base::Tokens tokens, Waiting &waiting)
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

void GrantHolder::askWitness(const Base::GrantId &id, std::uint64_t number)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Requested)
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

void GrantHolder::loseWitness(const Base::GrantId &id)
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

void GrantHolder::moveAskedElsewhere(HeldGrant &grant)
{
    std::vector<HeldReservation> asked;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, held] : grant.reservations) {
        if (held.phase != ReservationPhase::Requested)
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

void GrantHolder::dropReservation(HeldGrant &grant, std::uint64_t number)
{
    const auto it = grant.reservations.find(number);
    if (it == grant.reservations.end())
        return;
    sendSettlement(grant, number, it->second);
    grant.reserved -= it->second.tokens;
    grant.reservations.erase(it);
}

void GrantHolder::onReservationRecorded(const Peer::ReservationRecorded &message)
{
    auto *grant = m_book.find(message.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(message.reservation);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Requested)
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

void GrantHolder::settle(
    const Reservation &reservation, Base::Tokens used, std::function<void(bool)> whenSafe)
{
    auto *grant = m_book.find(reservation.grant);
    // A grant that was closed by others has had its reservations billed by them.
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
    held.durableCallbacks.push_back(std::move(whenSafe));
    m_accounts[held.request.budget].rate.note(used, m_context.scheduler.now());
    grant->reserved -= held.tokens;
    grant->unflushed += used;
    resendSettlement(reservation.grant, reservation.number, SettlementTries);
}

void GrantHolder::sendSettlement(
    const HeldGrant &grant, std::uint64_t number, const HeldReservation &held)
{
    const bool hasRun = held.bill.has_value();
    m_context.peers.send(grant.row.witness,
        Peer::RecordSettlement{grant.id, number, hasRun, hasRun ? *held.bill : Billing::Bill()});
}

void GrantHolder::resendSettlement(const Base::GrantId &id, std::uint64_t number, int triesLeft)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.isDurable || triesLeft <= 0)
        return;
    sendSettlement(*grant, number, it->second);
    m_context.scheduler.schedule(m_policy.witnessTimeout,
        [this, id, number, triesLeft] { resendSettlement(id, number, triesLeft - 1); });
}

void GrantHolder::onSettlementRecorded(const Peer::SettlementRecorded &message)
{
    auto *grant = m_book.find(message.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(message.reservation);
    if (it == grant->reservations.end())
        return;
    it->second.isDurable = true;
    auto callbacks = std::move(it->second.durableCallbacks);
    it->second.durableCallbacks.clear();
    for (auto &callback : callbacks)
        callback(true);
}

void GrantHolder::cancel(const Reservation &reservation)
{
    auto *grant = m_book.find(reservation.grant);
    if (!grant)
        return;
    dropReservation(*grant, reservation.number);
    pump(grant->row.budget);
}

void GrantHolder::pump(const Base::BudgetId &budget)
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

void GrantHolder::acquire(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    const auto &first = account.waiting.front().request;
    auto grants = missingGrants(budget, account);
    if (grants.empty() || m_context.scheduler.now() >= account.waiting.front().deadline) {
        refuseFirst(account, Base::ErrorKind::BudgetUnavailable);
        return pump(budget);
    }
    const auto needed = account.rounds > 0 ? first.minimum : first.requested;
    startAcquiring(budget, {budget, needed, std::move(grants)});
}

void GrantHolder::startAcquiring(const Base::BudgetId &budget, AcquireRequest request)
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

std::vector<WantedGrant> GrantHolder::missingGrants(const Base::BudgetId &budget, Account &account)
{
    const auto wanted = wantedSize(budget, account);
    Base::Tokens far;
    Base::Tokens near;
    for (const auto *grant : m_book.findByBudget(budget)) {
        if (grant->isUsable())
            (grant->hasLocalWitness ? near : far) += grant->unreserved();
    }
    const auto witnesses = m_witnesses.selectWitnesses();
    std::vector<WantedGrant> missing;
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        const bool isNear = n > 0;
        const auto held = isNear ? near : far;
        // A request that waits needs a grant even where the horizon is covered.
        const bool isNeeded = !isNear && !account.waiting.empty();
        if (isNeeded || held < wanted * RefillNumerator / RefillDenominator) {
            missing.push_back(
                {witnesses[n], std::max(wanted - held, m_policy.smallestGrant), isNear});
        }
    }
    return missing;
}

void GrantHolder::onAcquired(
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
        if (account.rounds == 0 && available >= first.minimum) {
            account.rounds = 1;
            return acquire(budget);
        }
        if (account.rounds < m_policy.recallRounds)
            return recall(budget);
        refuseFirst(account, Base::ErrorKind::BudgetExhausted);
        break;
    case AcquireOutcome::BudgetIsShort:
        if (account.rounds == 0 && first.minimum < first.requested) {
            account.rounds = 1;
            return acquire(budget);
        }
        [[fallthrough]];
    case AcquireOutcome::NoSuchBudget:
        refuseFirst(account, Base::ErrorKind::BudgetExhausted);
        break;
    case AcquireOutcome::Unreachable:
        refuseFirst(account, Base::ErrorKind::BudgetUnavailable);
        break;
    }
    account.rounds = 0;
    pump(budget);
}

void GrantHolder::refuseFirst(Account &account, Base::ErrorKind kind)
{
    auto answer = std::move(account.waiting.front().answer);
    account.waiting.pop_front();
    const bool isExhausted = kind == Base::ErrorKind::BudgetExhausted;
    ++(isExhausted ? m_counters.refusedExhausted : m_counters.refusedUnreachable);
    answer(refusal(kind));
}

void GrantHolder::recall(const Base::BudgetId &budget)
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
    onRecallTokens(m_context.self, {budget, round});
    m_context.scheduler.schedule(
        m_policy.recallTimeout, [this, budget, round] { finishRecall(budget, round); });
}

void GrantHolder::finishRecall(const Base::BudgetId &budget, std::uint64_t round)
{
    auto &account = m_accounts[budget];
    if (account.step != Step::Recalling || account.recallRound != round)
        return;
    account.step = Step::Idle;
    pump(budget);
}

void GrantHolder::onRecallTokens(const Base::InstanceId &from, const Peer::RecallTokens &message)
{
    auto open = std::make_shared<std::size_t>(1);
    auto countDown = [this, from, message, open](bool) {
        if (--*open > 0)
            return;
        const Peer::TokensReturned reply{message.budget, message.round};
        if (from == m_context.self)
            return onTokensReturned(from, reply);
        m_context.peers.send(from, reply);
    };
    for (auto *grant : m_book.findByBudget(message.budget)) {
        ++*open;
        returnWhenFree(grant->id, RecallTries, countDown);
    }
    countDown(true);
}

void GrantHolder::returnWhenFree(
    const Base::GrantId &id, int triesLeft, std::function<void(bool)> answer)
{
    m_returner.returnTokens(id, Base::Tokens(), [this, id, triesLeft, answer](bool isDone) {
        if (isDone || triesLeft <= 1)
            return answer(isDone);
        m_context.scheduler.schedule(m_policy.smallestBackOff,
            [this, id, triesLeft, answer] { returnWhenFree(id, triesLeft - 1, answer); });
    });
}

void GrantHolder::onTokensReturned(
    const Base::InstanceId &from, const Peer::TokensReturned &message)
{
    const auto it = m_accounts.find(message.budget);
    if (it == m_accounts.end() || it->second.recallRound != message.round)
        return;
    it->second.recallOpen.erase(from.name);
    if (it->second.recallOpen.empty())
        finishRecall(message.budget, message.round);
}

void GrantHolder::upkeep()
{
    m_flusher.flush([this](bool) { ++m_counters.flushes; });
    tidyGrants();
    m_acquirer.resolve();
    if (!m_isHandingBack)
        acquireAhead();
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { upkeep(); });
}

void GrantHolder::tidyGrants()
{
    for (auto *grant : m_book.all())
        tidyGrant(*grant);
}

void GrantHolder::tidyGrant(HeldGrant &grant)
{
    const auto now = m_context.scheduler.now();
    // A grant may lie unused for long beside others; idle is only what belongs to an idle budget.
    const auto use = m_accounts[grant.row.budget].rate.expected(m_policy.horizon, now);
    const bool isIdle = use == Base::Tokens() && now - grant.lastUsed > m_policy.idleReturn
        && grant.reservations.empty();
    const auto witness = m_lives.livenessOf(grant.row.witness);
    if (witness == Liveness::ConfirmedDead)
        grant.state = GrantState::Retiring;
    if (isSpent(grant))
        grant.state = GrantState::Retiring;
    const auto silence = now - grant.suspendedSince;
    if (grant.isSuspended && silence >= m_policy.witnessRetryDelay && witness == Liveness::Alive)
        grant.isSuspended = false;
    const bool isGivenUp = grant.isSuspended && silence >= m_policy.suspensionTimeout;
    // An idle or silent grant retires only once its tokens are back, so that it can be used again
    // where the platform cannot be reached.
    if (grant.state != GrantState::Retiring && !isGivenUp && !isIdle)
        return;
    m_returner.returnTokens(grant.id, Base::Tokens(), [this, id = grant.id](bool isDone) {
        auto *returned = m_book.find(id);
        if (isDone && returned)
            returned->state = GrantState::Retiring;
    });
}

bool GrantHolder::isSpent(const HeldGrant &grant)
{
    if (!grant.isUsable() || grant.unreserved() * SpentDivisor >= grant.row.amount)
        return false;
    const auto others = m_book.findByBudget(grant.row.budget);
    return std::any_of(others.begin(), others.end(), [&](const HeldGrant *other) {
        return other->id != grant.id && other->isUsable()
            && other->hasLocalWitness == grant.hasLocalWitness
            && other->unreserved() > grant.unreserved();
    });
}

void GrantHolder::acquireAhead()
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
        account.nextAhead = now + m_policy.prefetchInterval;
        if (m_book.findByBudget(budget).size() >= m_policy.maxPrefetchedGrants) {
            mergeSmallest(budget, grants.front().isNear);
        } else {
            startAcquiring(budget, {budget, Base::Tokens(), std::move(grants)});
        }
    }
}

void GrantHolder::mergeSmallest(const Base::BudgetId &budget, bool isNear)
{
    // Its tokens go back, and the next acquisition takes them together with what is missing.
    HeldGrant *smallest = nullptr;
    for (auto *grant : m_book.findByBudget(budget)) {
        if (!grant->isUsable() || grant->hasLocalWitness != isNear)
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

void GrantHolder::returnAll(std::function<void(bool)> answer)
{
    m_isHandingBack = true;
    tryHandBack(std::move(answer));
}

void GrantHolder::tryHandBack(std::function<void(bool)> answer)
{
    m_acquirer.resolve();
    if (m_book.all().empty() && !m_acquirer.hasUnresolved())
        return answer(true);
    // A try that lands now is taken only to be handed back.
    for (auto *grant : m_book.all())
        grant->state = GrantState::Retiring;
    m_flusher.flush([this, answer](bool) {
        tidyGrants();
        m_context.scheduler.schedule(
            m_policy.smallestBackOff, [this, answer] { tryHandBack(answer); });
    });
}

Base::Tokens GrantHolder::wantedSize(const Base::BudgetId &budget, Account &account)
{
    const auto forHorizon = account.rate.expected(m_policy.horizon, m_context.scheduler.now());
    // What is reserved at once comes on top: unused parts of reservations come back, but late.
    Base::Tokens reserved;
    for (const auto *grant : m_book.findByBudget(budget))
        reserved += grant->reserved;
    return std::max(forHorizon + reserved, m_policy.smallestGrant);
}

} // namespace Carawaykeel::Budget
