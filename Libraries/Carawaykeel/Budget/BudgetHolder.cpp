#include <Carawaykeel/Budget/BudgetHolder.h>

#include <Carawaykeel/Base/Verify.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr Base::Milliseconds RateWindow{10'000};
constexpr int SettlementTries = 5;
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

BudgetHolder::BudgetHolder(
    Base::InstanceContext &context, const BudgetPolicy &policy, WitnessChooser &witnesses)
    : m_context(context)
    , m_policy(policy)
    , m_witnesses(witnesses)
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
    noteUse(m_accounts[request.budget], request.wanted);
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
        if (grant->state == GrantState::Open && grant->unreserved() >= tokens)
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
    if (grant->state == GrantState::Open)
        ++m_counters.witnessLost;
    grant->state = GrantState::Retiring;
    std::vector<HeldReservation> asked;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, held] : grant->reservations) {
        if (held.phase != ReservationPhase::Asked)
            continue;
        numbers.push_back(number);
        asked.push_back({held.request, held.tokens, held.phase, 0, std::move(held.answer),
            held.deadline, std::nullopt, false, {}});
    }
    for (const auto number : numbers)
        dropReservation(*grant, number);
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
    if (!message.isAccepted)
        return loseWitness(message.grant);
    it->second.phase = ReservationPhase::Recorded;
    ++m_counters.reserved;
    auto answer = std::move(it->second.answer);
    answer(Reservation{message.grant, message.reservation, it->second.tokens});
}

void BudgetHolder::settle(
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
    held.whenSafe.push_back(std::move(whenSafe));
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
    auto witnesses = m_witnesses.chooseWitnesses();
    if (witnesses.empty() || m_context.scheduler.now() >= account.waiting.front().deadline) {
        refuseFirst(account, Base::ErrorKind::BudgetUnreachable);
        return pump(budget);
    }
    account.step = Step::Acquiring;
    const auto needed = account.rounds > 0 ? first.least : first.wanted;
    AcquireRequest request{budget, needed, wantedSize(account), std::move(witnesses)};
    m_topUps.ensureDeclared(budget, [this, request](bool isReached) {
        if (!isReached)
            return onAcquired(request.budget, AcquireOutcome::Unreachable, Base::Tokens());
        m_acquirer.acquire(
            request, [this, request](AcquireOutcome outcome, Base::Tokens available) {
                onAcquired(request.budget, outcome, available);
            });
    });
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
    m_context.scheduler.schedule(m_policy.flushInterval, [this] { upkeep(); });
}

void BudgetHolder::tidyGrants()
{
    const auto now = m_context.scheduler.now();
    std::vector<Base::GrantId> done;
    for (auto *grant : m_book.all()) {
        const bool isIdle =
            now - grant->lastUsed > m_policy.idleReturn && grant->reservations.empty();
        if (isIdle)
            grant->state = GrantState::Retiring;
        if (grant->state == GrantState::Retiring)
            done.push_back(grant->id);
    }
    for (const auto &id : done)
        m_returner.returnTokens(id, Base::Tokens(), [](bool) {});
}

void BudgetHolder::handBack(std::function<void(bool)> answer)
{
    m_isHandingBack = true;
    for (auto *grant : m_book.all())
        grant->state = GrantState::Retiring;
    tryHandBack(std::move(answer));
}

void BudgetHolder::tryHandBack(std::function<void(bool)> answer)
{
    if (m_book.all().empty())
        return answer(true);
    m_flusher.flush([this, answer](bool) {
        tidyGrants();
        m_context.scheduler.schedule(
            m_policy.smallestBackOff, [this, answer] { tryHandBack(answer); });
    });
}

void BudgetHolder::noteUse(Account &account, Base::Tokens tokens)
{
    const auto now = m_context.scheduler.now();
    if (now - account.windowStart >= RateWindow) {
        const bool isRecent = now - account.windowStart < RateWindow * 2;
        account.lastWindowTokens = isRecent ? account.windowTokens : Base::Tokens();
        account.windowTokens = Base::Tokens();
        account.windowStart = now;
    }
    account.windowTokens += tokens;
}

Base::Tokens BudgetHolder::wantedSize(const Account &account) const
{
    const auto inWindow = std::max(account.windowTokens, account.lastWindowTokens);
    const auto forHorizon = inWindow * m_policy.horizon.count() / RateWindow.count();
    return std::max(forHorizon, m_policy.smallestGrant);
}

} // namespace Carawaykeel::Budget
