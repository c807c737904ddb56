#include <Carawaykeel/Budget/GrantHolder.h>

#include <Carawaykeel/Base/Verify.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr int MaxSettlementTries = 5;
/// Grants are refilled when they cover less than this fraction of the expected use over the
/// horizon.
constexpr std::int64_t RefillNumerator = 7;
constexpr std::int64_t RefillDenominator = 8;
/// A grant is closed when less than its amount divided by this is left and another grant can be
/// used.
constexpr std::int64_t NearlySpentDivisor = 16;
constexpr int MaxRecallTries = 4;

Base::Failure makeRefusal(Base::ErrorKind kind)
{
    const bool isExhausted = kind == Base::ErrorKind::BudgetExhausted;
    return {kind,
        isExhausted ? "the budget has too few tokens left for this request"
                    : "the budget's tokens cannot be reached now",
        isExhausted ? Base::Milliseconds() : Base::Milliseconds(1'000)};
}

} // namespace

GrantHolder::GrantHolder(Base::InstanceContext &context, const BudgetPolicy &policy,
    WitnessSelector &witnessSelector, const FailureDetector &failureDetector)
    : m_context(context)
    , m_policy(policy)
    , m_witnessSelector(witnessSelector)
    , m_failureDetector(failureDetector)
    , m_topUps(context, m_policy)
    , m_acquirer(context, m_policy, m_grants)
    , m_returner(context, m_policy, m_grants)
    , m_flusher(context, m_policy, m_grants)
{
}

void GrantHolder::start()
{
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { runMaintenance(); });
}

void GrantHolder::reserve(
    ReservationRequest request, std::function<void(Base::Outcome<Reservation>)> callback)
{
    if (m_isReturningAll)
        return callback(makeRefusal(Base::ErrorKind::BudgetUnavailable));
    reserveOrQueue(request, std::move(callback), m_context.scheduler.now() + m_policy.grantTimeout);
}

void GrantHolder::reserveOrQueue(const ReservationRequest &request,
    std::function<void(Base::Outcome<Reservation>)> callback, Base::Milliseconds deadline)
{
    auto &account = m_accounts[request.budget];
    PendingReservation pending{request, std::move(callback), deadline};
    const bool isFirst = account.queue.empty();
    if (isFirst && tryReserve(pending, false))
        return;
    account.queue.push_back(std::move(pending));
    serveQueue(request.budget);
}

bool GrantHolder::tryReserve(PendingReservation &pending, bool acceptsMinimum)
{
    const auto &request = pending.request;
    if (auto *grant = findGrant(request.budget, request.requested)) {
        requestReservation(*grant, request.requested, pending);
        return true;
    }
    if (!acceptsMinimum)
        return false;
    auto *grant = findGrant(request.budget, request.minimum);
    if (!grant)
        return false;
    requestReservation(*grant, std::min(request.requested, grant->unreserved()), pending);
    return true;
}

HeldGrant *GrantHolder::findGrant(const Base::BudgetId &budget, Base::Tokens tokens)
{
    for (auto *grant : m_grants.findByBudget(budget)) {
        if (grant->isUsable() && grant->unreserved() >= tokens)
            return grant;
    }
    return nullptr;
}

void GrantHolder::requestReservation(
    HeldGrant &grant, Base::Tokens tokens, PendingReservation &pending)
{
    const auto number = ++m_lastReservation;
    HeldReservation held;
    held.request = pending.request;
    held.tokens = tokens;
    held.callback = std::move(pending.callback);
    held.deadline = pending.deadline;
    grant.reserved += tokens;
    grant.lastUsed = m_context.scheduler.now();
    grant.reservations.emplace(number, std::move(held));
    Base::verify(
        grant.unreserved() >= Base::Tokens(), "a grant is never reserved beyond its amount");
    sendReservation(grant.id, number);
}

void GrantHolder::sendReservation(const Base::GrantId &id, std::uint64_t number)
{
    auto *grant = m_grants.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Requested)
        return;
    auto &held = it->second;
    if (held.tries++ >= m_policy.maxWitnessTries)
        return suspendGrant(id);
    const auto &request = held.request;
    m_context.peers.send(grant->row.witness,
        Peer::RecordReservation{id, request.budget, number, request.team, request.request,
            request.service, held.tokens});
    m_context.scheduler.schedule(
        m_policy.witnessTimeout, [this, id, number] { sendReservation(id, number); });
}

void GrantHolder::suspendGrant(const Base::GrantId &id)
{
    auto *grant = m_grants.find(id);
    if (!grant)
        return;
    if (!grant->isSuspended)
        ++m_counters.witnessLost;
    grant->isSuspended = true;
    grant->suspendedSince = m_context.scheduler.now();
    reassignRequested(*grant);
}

void GrantHolder::reassignRequested(HeldGrant &grant)
{
    std::vector<HeldReservation> reassigned;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, held] : grant.reservations) {
        if (held.phase != ReservationPhase::Requested)
            continue;
        numbers.push_back(number);
        reassigned.push_back({held.request, held.tokens, held.phase, 0, std::move(held.callback),
            held.deadline, std::nullopt, false, {}});
    }
    for (const auto number : numbers)
        dropReservation(grant, number);
    for (auto &held : reassigned)
        reserveOrQueue(held.request, std::move(held.callback), held.deadline);
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
    auto *grant = m_grants.find(message.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(message.reservation);
    if (it == grant->reservations.end() || it->second.phase != ReservationPhase::Requested)
        return;
    if (!message.isAccepted) {
        grant->state = GrantState::Retiring;
        return reassignRequested(*grant);
    }
    it->second.phase = ReservationPhase::Recorded;
    ++m_counters.reserved;
    auto callback = std::move(it->second.callback);
    callback(Reservation{message.grant, message.reservation, it->second.tokens});
}

void GrantHolder::settle(
    const Reservation &reservation, Base::Tokens used, std::function<void(bool)> callback)
{
    auto *grant = m_grants.find(reservation.grant);
    // If the grant was closed by another instance, that instance has billed its reservations.
    if (!grant)
        return callback(true);
    const auto it = grant->reservations.find(reservation.number);
    Base::verify(it != grant->reservations.end() && it->second.phase == ReservationPhase::Recorded,
        "only a recorded reservation is settled, and only once");
    Base::verify(used <= it->second.tokens, "no more is settled than was reserved");
    auto &held = it->second;
    held.phase = ReservationPhase::Settled;
    held.bill = Billing::Bill{held.request.team, held.request.request, held.request.budget,
        reservation.grant, reservation.number, used, false};
    held.durableCallbacks.push_back(std::move(callback));
    m_accounts[held.request.budget].rate.record(used, m_context.scheduler.now());
    grant->reserved -= held.tokens;
    grant->unflushed += used;
    resendSettlement(reservation.grant, reservation.number, MaxSettlementTries);
}

void GrantHolder::sendSettlement(
    const HeldGrant &grant, std::uint64_t number, const HeldReservation &held)
{
    const bool hasRun = held.bill.has_value();
    m_context.peers.send(grant.row.witness,
        Peer::RecordSettlement{grant.id, number, hasRun, hasRun ? *held.bill : Billing::Bill()});
}

void GrantHolder::resendSettlement(
    const Base::GrantId &id, std::uint64_t number, int remainingTries)
{
    auto *grant = m_grants.find(id);
    if (!grant)
        return;
    const auto it = grant->reservations.find(number);
    if (it == grant->reservations.end() || it->second.isDurable || remainingTries <= 0)
        return;
    sendSettlement(*grant, number, it->second);
    m_context.scheduler.schedule(m_policy.witnessTimeout,
        [this, id, number, remainingTries] { resendSettlement(id, number, remainingTries - 1); });
}

void GrantHolder::onSettlementRecorded(const Peer::SettlementRecorded &message)
{
    auto *grant = m_grants.find(message.grant);
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
    auto *grant = m_grants.find(reservation.grant);
    if (!grant)
        return;
    dropReservation(*grant, reservation.number);
    serveQueue(grant->row.budget);
}

void GrantHolder::serveQueue(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    while (!account.queue.empty()) {
        auto first = std::move(account.queue.front());
        account.queue.pop_front();
        if (tryReserve(first, account.rounds > 0))
            continue;
        account.queue.push_front(std::move(first));
        break;
    }
    if (!account.queue.empty() && account.state == AccountState::Idle)
        acquire(budget);
}

void GrantHolder::acquire(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    const auto &first = account.queue.front().request;
    auto grants = missingGrants(budget, account);
    if (grants.empty() || m_context.scheduler.now() >= account.queue.front().deadline) {
        refuseFirst(account, Base::ErrorKind::BudgetUnavailable);
        return serveQueue(budget);
    }
    const auto needed = account.rounds > 0 ? first.minimum : first.requested;
    startAcquisition(budget, {budget, needed, std::move(grants)});
}

void GrantHolder::startAcquisition(const Base::BudgetId &budget, AcquireRequest request)
{
    m_accounts[budget].state = AccountState::Acquiring;
    m_topUps.ensureDeclaredCounted(budget, [this, request = std::move(request)](bool isReachable) {
        if (!isReachable)
            return onAcquired(request.budget, AcquireOutcome::Unreachable, Base::Tokens());
        m_acquirer.acquire(
            request, [this, request](AcquireOutcome outcome, Base::Tokens available) {
                onAcquired(request.budget, outcome, available);
            });
    });
}

std::vector<RequestedGrant> GrantHolder::missingGrants(
    const Base::BudgetId &budget, Account &account)
{
    const auto target = targetSize(budget, account);
    Base::Tokens remote;
    Base::Tokens local;
    for (const auto *grant : m_grants.findByBudget(budget)) {
        if (grant->isUsable())
            (grant->hasLocalWitness ? local : remote) += grant->unreserved();
    }
    const auto witnesses = m_witnessSelector.selectWitnesses();
    std::vector<RequestedGrant> missing;
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        const bool isLocal = n > 0;
        const auto held = isLocal ? local : remote;
        // A queued request needs a grant even if the horizon is covered.
        const bool isNeeded = !isLocal && !account.queue.empty();
        if (isNeeded || held < target * RefillNumerator / RefillDenominator) {
            missing.push_back(
                {witnesses[n], std::max(target - held, m_policy.minGrantSize), isLocal});
        }
    }
    return missing;
}

void GrantHolder::onAcquired(
    const Base::BudgetId &budget, AcquireOutcome outcome, Base::Tokens available)
{
    auto &account = m_accounts[budget];
    account.state = AccountState::Idle;
    if (account.queue.empty()) {
        account.rounds = 0;
        return;
    }
    const auto &first = account.queue.front().request;
    switch (outcome) {
    case AcquireOutcome::Acquired:
        ++m_counters.grantsTaken;
        serveQueue(budget);
        account.rounds = 0;
        return;
    case AcquireOutcome::InsufficientAvailable:
        if (account.rounds == 0 && available >= first.minimum) {
            account.rounds = 1;
            return acquire(budget);
        }
        if (account.rounds < m_policy.maxRecallRounds)
            return startRecall(budget);
        refuseFirst(account, Base::ErrorKind::BudgetExhausted);
        break;
    case AcquireOutcome::InsufficientTotal:
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
    serveQueue(budget);
}

void GrantHolder::refuseFirst(Account &account, Base::ErrorKind kind)
{
    auto callback = std::move(account.queue.front().callback);
    account.queue.pop_front();
    const bool isExhausted = kind == Base::ErrorKind::BudgetExhausted;
    ++(isExhausted ? m_counters.refusedExhausted : m_counters.refusedUnavailable);
    callback(makeRefusal(kind));
}

void GrantHolder::startRecall(const Base::BudgetId &budget)
{
    auto &account = m_accounts[budget];
    ++account.rounds;
    ++m_counters.recalls;
    account.state = AccountState::Recalling;
    const auto round = ++m_lastRecallRound;
    account.recallRound = round;
    account.pendingRecallReplies.clear();
    for (const auto &peer : m_witnessSelector.livePeers()) {
        account.pendingRecallReplies.insert(peer.name);
        m_context.peers.send(peer, Peer::RecallTokens{budget, round});
    }
    account.pendingRecallReplies.insert(m_context.self.name);
    onRecallTokens(m_context.self, {budget, round});
    m_context.scheduler.schedule(
        m_policy.recallTimeout, [this, budget, round] { finishRecall(budget, round); });
}

void GrantHolder::finishRecall(const Base::BudgetId &budget, std::uint64_t round)
{
    auto &account = m_accounts[budget];
    if (account.state != AccountState::Recalling || account.recallRound != round)
        return;
    account.state = AccountState::Idle;
    serveQueue(budget);
}

void GrantHolder::onRecallTokens(const Base::InstanceId &from, const Peer::RecallTokens &message)
{
    auto pendingReturns = std::make_shared<std::size_t>(1);
    auto countDown = [this, from, message, pendingReturns](bool) {
        if (--*pendingReturns > 0)
            return;
        const Peer::TokensReturned reply{message.budget, message.round};
        if (from == m_context.self)
            return onTokensReturned(from, reply);
        m_context.peers.send(from, reply);
    };
    for (auto *grant : m_grants.findByBudget(message.budget)) {
        ++*pendingReturns;
        returnWithRetries(grant->id, MaxRecallTries, countDown);
    }
    countDown(true);
}

void GrantHolder::returnWithRetries(
    const Base::GrantId &id, int remainingTries, std::function<void(bool)> callback)
{
    m_returner.returnTokens(
        id, Base::Tokens(), [this, id, remainingTries, callback](bool isReturned) {
            if (isReturned || remainingTries <= 1)
                return callback(isReturned);
            m_context.scheduler.schedule(m_policy.minBackoff, [this, id, remainingTries, callback] {
                returnWithRetries(id, remainingTries - 1, callback);
            });
        });
}

void GrantHolder::onTokensReturned(
    const Base::InstanceId &from, const Peer::TokensReturned &message)
{
    const auto it = m_accounts.find(message.budget);
    if (it == m_accounts.end() || it->second.recallRound != message.round)
        return;
    it->second.pendingRecallReplies.erase(from.name);
    if (it->second.pendingRecallReplies.empty())
        finishRecall(message.budget, message.round);
}

void GrantHolder::runMaintenance()
{
    m_flusher.flush([this](bool) { ++m_counters.flushes; });
    maintainGrants();
    m_acquirer.resolve();
    if (!m_isReturningAll)
        prefetchGrants();
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { runMaintenance(); });
}

void GrantHolder::maintainGrants()
{
    for (auto *grant : m_grants.all())
        maintainGrant(*grant);
}

void GrantHolder::maintainGrant(HeldGrant &grant)
{
    const auto now = m_context.scheduler.now();
    // A grant may be unused for long while other grants of its budget are used; it is idle only if
    // the whole budget is idle.
    const auto use = m_accounts[grant.row.budget].rate.expectedUse(m_policy.horizon, now);
    const bool isIdle = use == Base::Tokens() && now - grant.lastUsed > m_policy.idleReturn
        && grant.reservations.empty();
    const auto witness = m_failureDetector.livenessOf(grant.row.witness);
    if (witness == Liveness::ConfirmedDead)
        grant.state = GrantState::Retiring;
    if (isNearlySpent(grant))
        grant.state = GrantState::Retiring;
    const auto suspendedFor = now - grant.suspendedSince;
    if (grant.isSuspended && suspendedFor >= m_policy.witnessRetryDelay
        && witness == Liveness::Alive)
        grant.isSuspended = false;
    const bool isSuspensionExpired =
        grant.isSuspended && suspendedFor >= m_policy.suspensionTimeout;
    // An idle grant, or one whose witness is unresponsive, retires only after its tokens were
    // returned, so that it stays usable while the table is unreachable.
    if (grant.state != GrantState::Retiring && !isSuspensionExpired && !isIdle)
        return;
    m_returner.returnTokens(grant.id, Base::Tokens(), [this, id = grant.id](bool isReturned) {
        auto *returned = m_grants.find(id);
        if (isReturned && returned)
            returned->state = GrantState::Retiring;
    });
}

bool GrantHolder::isNearlySpent(const HeldGrant &grant)
{
    if (!grant.isUsable() || grant.unreserved() * NearlySpentDivisor >= grant.row.amount)
        return false;
    const auto others = m_grants.findByBudget(grant.row.budget);
    return std::any_of(others.begin(), others.end(), [&](const HeldGrant *other) {
        return other->id != grant.id && other->isUsable()
            && other->hasLocalWitness == grant.hasLocalWitness
            && other->unreserved() > grant.unreserved();
    });
}

void GrantHolder::prefetchGrants()
{
    for (auto &[budget, account] : m_accounts) {
        const bool isInUse =
            account.rate.expectedUse(m_policy.horizon, m_context.scheduler.now()) > Base::Tokens();
        const auto now = m_context.scheduler.now();
        const bool canPrefetch = account.state == AccountState::Idle && account.queue.empty()
            && now >= account.nextPrefetchAt;
        if (!isInUse || !canPrefetch)
            continue;
        auto grants = missingGrants(budget, account);
        if (grants.empty())
            continue;
        account.nextPrefetchAt = now + m_policy.prefetchInterval;
        if (m_grants.findByBudget(budget).size() >= m_policy.maxPrefetchedGrants) {
            returnSmallestGrant(budget, grants.front().hasLocalWitness);
        } else {
            startAcquisition(budget, {budget, Base::Tokens(), std::move(grants)});
        }
    }
}

void GrantHolder::returnSmallestGrant(const Base::BudgetId &budget, bool isLocal)
{
    // Returns the smallest grant; the next acquisition takes its tokens together with what is
    // missing.
    HeldGrant *smallest = nullptr;
    for (auto *grant : m_grants.findByBudget(budget)) {
        if (!grant->isUsable() || grant->hasLocalWitness != isLocal)
            continue;
        if (!smallest || grant->unreserved() < smallest->unreserved())
            smallest = grant;
    }
    if (!smallest)
        return;
    m_returner.returnTokens(
        smallest->id, Base::Tokens(), [this, id = smallest->id](bool isReturned) {
            auto *returned = m_grants.find(id);
            if (isReturned && returned)
                returned->state = GrantState::Retiring;
        });
}

void GrantHolder::returnAll(std::function<void(bool)> callback)
{
    m_isReturningAll = true;
    tryReturnAll(std::move(callback));
}

void GrantHolder::tryReturnAll(std::function<void(bool)> callback)
{
    m_acquirer.resolve();
    if (m_grants.all().empty() && !m_acquirer.hasUnresolved())
        return callback(true);
    // Grants of a pending commit that takes effect now are adopted only to be returned.
    for (auto *grant : m_grants.all())
        grant->state = GrantState::Retiring;
    m_flusher.flush([this, callback](bool) {
        maintainGrants();
        m_context.scheduler.schedule(
            m_policy.minBackoff, [this, callback] { tryReturnAll(callback); });
    });
}

Base::Tokens GrantHolder::targetSize(const Base::BudgetId &budget, Account &account)
{
    const auto horizonUse = account.rate.expectedUse(m_policy.horizon, m_context.scheduler.now());
    // Adds the tokens reserved now: the unused parts of reservations become available again only
    // when they are settled.
    Base::Tokens reserved;
    for (const auto *grant : m_grants.findByBudget(budget))
        reserved += grant->reserved;
    return std::max(horizonUse + reserved, m_policy.minGrantSize);
}

} // namespace Carawaykeel::Budget
