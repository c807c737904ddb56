#include <Carawaykeel/Budget/GrantReclaimer.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr std::string_view GrantPrefix = "grant/";
constexpr std::size_t FixedRows = 2;
constexpr std::size_t RowsPerReservation = 2;
constexpr int MaxTries = 8;
/// Searches of a confirmed dead incarnation that may find no grant before it is left to the sweeps.
constexpr int MaxEmptySearches = 3;
constexpr std::int64_t InstancesPerIntervalStep = 16;

} // namespace

GrantReclaimer::GrantReclaimer(Base::InstanceContext &context, const BudgetPolicy &policy,
    GrantWitness &witness, const FailureDetector &failureDetector, AttemptLookup &attemptLookup)
    : m_context(context)
    , m_policy(policy)
    , m_witness(witness)
    , m_failureDetector(failureDetector)
    , m_attemptLookup(attemptLookup)
{
}

void GrantReclaimer::start()
{
    scheduleSearch();
    scheduleSweep();
}

void GrantReclaimer::scheduleSearch()
{
    m_context.scheduler.schedule(withJitter(m_policy.reclaimInterval), [this] {
        searchFailed();
        scheduleSearch();
    });
}

void GrantReclaimer::scheduleSweep()
{
    // Scales the interval with the fleet size, so that the sweep rate of the whole fleet stays
    // constant.
    const auto interval =
        m_policy.sweepInterval * static_cast<std::int64_t>(m_failureDetector.knownInstances());
    const auto delay = m_hasSwept ? interval : m_policy.reclaimInterval * 2;
    m_hasSwept = true;
    m_context.scheduler.schedule(withJitter(delay), [this] {
        search(std::string(GrantPrefix));
        scheduleSweep();
    });
}

Base::Milliseconds GrantReclaimer::withJitter(Base::Milliseconds delay)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, delay.count() / 4);
    return delay + Base::Milliseconds(jitter(m_context.random));
}

void GrantReclaimer::searchFailed()
{
    const auto now = m_context.scheduler.now();
    for (const auto &incarnation : m_failureDetector.failedIncarnations()) {
        auto &record = m_searches[incarnation];
        // An instance that is not a witness for the incarnation searches less often the larger the
        // fleet is.
        const auto factor = isWitnessFor(incarnation) ? 1
                                                      : 1
                + static_cast<std::int64_t>(m_failureDetector.knownInstances())
                    / InstancesPerIntervalStep;
        const bool isDue = now - record.lastSearch >= m_policy.reclaimInterval * factor;
        if (!isDue || record.emptySearches >= MaxEmptySearches)
            continue;
        record.lastSearch = now;
        search(GrantRow::holderPrefix(incarnation), incarnation);
    }
}

bool GrantReclaimer::isWitnessFor(const Base::InstanceId &incarnation) const
{
    const auto prefix = GrantRow::holderPrefix(incarnation);
    const auto it = m_witness.grants().lower_bound(Base::GrantId(prefix));
    return it != m_witness.grants().end() && it->first.text().starts_with(prefix);
}

void GrantReclaimer::search(
    const std::string &prefix, const std::optional<Base::InstanceId> &incarnation)
{
    m_context.table.readRange(prefix, [this, incarnation](const Platform::RangeReply &reply) {
        if (!reply.isReachable)
            return;
        if (incarnation) {
            // Empty searches count only for a confirmed dead incarnation; any other may still
            // acquire grants.
            const bool isConfirmedDead =
                m_failureDetector.livenessOf(*incarnation) == Liveness::ConfirmedDead;
            auto &searches = m_searches[*incarnation].emptySearches;
            searches = reply.rows.empty() && isConfirmedDead ? searches + 1 : 0;
        }
        for (const auto &row : reply.rows)
            consider(row);
        startNext();
    });
}

void GrantReclaimer::consider(const Platform::Row &row)
{
    const Base::GrantId id(row.key);
    const auto grant = Platform::decodeRow<GrantRow>(row.value);
    const auto holder = m_failureDetector.livenessOf(grant.holder);
    if (grant.holder == m_context.self || holder == Liveness::Alive || m_queued.contains(id))
        return;
    const bool isWitness = grant.witness == m_context.self;
    const bool isWitnessDead =
        m_failureDetector.livenessOf(grant.witness) == Liveness::ConfirmedDead;
    const bool isWriteOff = !isWitness && holder == Liveness::ConfirmedDead && isWitnessDead;
    if (!isWitness && !isWriteOff)
        return;
    auto operation = std::make_shared<Operation>();
    operation->id = id;
    operation->row = grant;
    operation->isWriteOff = isWriteOff;
    operation->remainingTries = MaxTries;
    m_queued.insert(id);
    m_queue.push_back(std::move(operation));
}

void GrantReclaimer::startNext()
{
    if (m_isProcessing || m_queue.empty())
        return;
    m_isProcessing = true;
    const auto operation = m_queue.front();
    m_queue.pop_front();
    begin(operation);
}

void GrantReclaimer::begin(const OperationPointer &operation)
{
    // The holder may have recovered while the grant was queued.
    if (m_failureDetector.livenessOf(operation->row.holder) == Liveness::Alive)
        return finish(operation);
    if (operation->isWriteOff)
        return writeOff(operation);
    m_witness.fence(operation->id);
    lookUpAttempts(operation);
}

void GrantReclaimer::lookUpAttempts(const OperationPointer &operation)
{
    auto results = std::make_shared<AttemptResults>();
    auto pending = std::make_shared<std::size_t>(1);
    auto countDown = [this, operation, results, pending] {
        if (--*pending == 0)
            readRows(operation, results);
    };
    for (const auto &[number, reservation] : m_witness.fence(operation->id).openReservations) {
        if (reservation.bill || !isBillable(*operation, reservation))
            continue;
        // NOTE: A holder that is not confirmed dead may resume and dispatch after the engines were
        // queried. Until it is confirmed dead, the lookup results do not count and the whole
        // reservation is billed.
        if (m_failureDetector.livenessOf(operation->row.holder) != Liveness::ConfirmedDead) {
            results->emplace(number, AttemptLookupResult{});
            continue;
        }
        ++*pending;
        m_attemptLookup.lookUp(reservation.service, operation->id, number,
            [results, number = number, countDown](AttemptLookupResult result) {
                results->emplace(number, result);
                countDown();
            });
    }
    countDown();
}

bool GrantReclaimer::isBillable(
    const Operation &operation, const WitnessedReservation &reservation) const
{
    const bool isDead =
        m_failureDetector.livenessOf(operation.row.holder) == Liveness::ConfirmedDead;
    const auto age = m_context.scheduler.now() - reservation.recordedAt;
    return isDead || age >= m_policy.reservationExpiry;
}

void GrantReclaimer::readRows(
    const OperationPointer &operation, const std::shared_ptr<AttemptResults> &results)
{
    std::vector<std::string> keys{operation->id.text(), BudgetRow::rowKey(operation->row.budget)};
    std::vector<std::uint64_t> queried;
    for (const auto &[number, reservation] : m_witness.fence(operation->id).openReservations) {
        queried.push_back(number);
        const auto bill = billFor(*operation, number, reservation, Base::Tokens());
        keys.push_back(bill.rowKey());
        keys.push_back(bill.unchargedRowKey());
    }
    m_context.table.readRows(
        std::move(keys), [this, operation, results, queried](const Platform::RowsReply &reply) {
            decide(operation, *results, queried, reply);
        });
}

void GrantReclaimer::decide(const OperationPointer &operation, const AttemptResults &results,
    const std::vector<std::uint64_t> &queried, const Platform::RowsReply &reply)
{
    if (!reply.isReachable || !reply.rows.at(0) || !reply.rows.at(1))
        return finish(operation);
    operation->row = Platform::decodeRow<GrantRow>(reply.rows.at(0)->value);
    operation->version = reply.rows.at(0)->version;
    collectBills(*operation, results, queried, reply);
    commit(operation, *reply.rows.at(1));
}

void GrantReclaimer::collectBills(Operation &operation, const AttemptResults &results,
    const std::vector<std::uint64_t> &queried, const Platform::RowsReply &reply)
{
    auto &grant = m_witness.fence(operation.id);
    auto remaining = operation.row.amount - operation.row.settled;
    std::vector<std::uint64_t> unsettled;
    for (std::size_t n = 0; n < queried.size(); ++n) {
        const auto it = grant.openReservations.find(queried[n]);
        if (it == grant.openReservations.end())
            continue;
        const auto &existing = reply.rows.at(FixedRows + n * RowsPerReservation);
        const auto &uncharged = reply.rows.at(FixedRows + n * RowsPerReservation + 1);
        const auto own = billFor(operation, queried[n], it->second, Base::Tokens());
        const bool isOwn =
            existing && Platform::decodeRow<Billing::Bill>(existing->value).isSameRun(own);
        if (isOwn || uncharged) {
            operation.finished.push_back(queried[n]);
            continue;
        }
        if (existing) {
            recordUncharged(operation, queried[n], it->second, results);
            continue;
        }
        if (!it->second.bill) {
            unsettled.push_back(queried[n]);
            continue;
        }
        operation.bills.push_back(*it->second.bill);
        remaining -= it->second.bill->tokens;
        operation.finished.push_back(queried[n]);
    }
    for (const auto number : unsettled) {
        const auto result = results.find(number);
        if (result == results.end())
            continue;
        billEstimate(operation, number, result->second, remaining);
        operation.finished.push_back(number);
    }
}

Billing::Bill GrantReclaimer::billFor(const Operation &operation, std::uint64_t number,
    const WitnessedReservation &reservation, Base::Tokens tokens)
{
    return {reservation.team, reservation.request, reservation.budget, operation.id, number, tokens,
        true};
}

void GrantReclaimer::recordUncharged(Operation &operation, std::uint64_t number,
    const WitnessedReservation &reservation, const AttemptResults &results)
{
    // Another run of the request was billed. The tokens of this run return to the budget, and a
    // separate row records it as uncharged.
    const auto result = results.find(number);
    if (!reservation.bill && result == results.end())
        return;
    const auto tokens =
        reservation.bill ? reservation.bill->tokens : tokensToBill(result->second, reservation);
    operation.finished.push_back(number);
    if (tokens > Base::Tokens())
        operation.uncharged.push_back(billFor(operation, number, reservation, tokens));
}

Base::Tokens GrantReclaimer::tokensToBill(
    const AttemptLookupResult &result, const WitnessedReservation &reservation)
{
    switch (result.status) {
    case AttemptStatus::NeverSeen:
        return {};
    case AttemptStatus::Finished:
        return std::min(result.tokens, reservation.tokens);
    case AttemptStatus::Unknown:
        break;
    }
    return reservation.tokens;
}

void GrantReclaimer::billEstimate(Operation &operation, std::uint64_t number,
    const AttemptLookupResult &result, Base::Tokens &remaining)
{
    if (result.status == AttemptStatus::NeverSeen)
        return;
    const auto &reservation = m_witness.fence(operation.id).openReservations.at(number);
    // The holder may have settled the reservation for less and returned the difference while the
    // settlement message was lost, so the bill is limited to what the grant has left.
    const auto tokens = std::min(tokensToBill(result, reservation), remaining);
    remaining -= tokens;
    operation.bills.push_back(billFor(operation, number, reservation, tokens));
}

void GrantReclaimer::commit(const OperationPointer &operation, const Platform::Row &budget)
{
    auto row = operation->row;
    auto ledger = Platform::decodeRow<BudgetRow>(budget.value);
    Platform::Transaction transaction;
    for (const auto &bill : operation->bills) {
        row.settled += bill.tokens;
        transaction.put(bill.rowKey(), Platform::encodeRow(bill), Platform::AbsentVersion);
    }
    for (const auto &bill : operation->uncharged)
        transaction.put(bill.unchargedRowKey(), Platform::encodeRow(bill), Platform::AbsentVersion);
    const auto &grant = m_witness.fence(operation->id);
    Base::Tokens stillOpen;
    for (const auto &[number, reservation] : grant.openReservations) {
        if (std::find(operation->finished.begin(), operation->finished.end(), number)
            == operation->finished.end())
            stillOpen += reservation.bill ? reservation.bill->tokens : reservation.tokens;
    }
    operation->isClosing = grant.openReservations.size() == operation->finished.size();
    const auto amount = std::min(row.amount, row.settled + stillOpen);
    const auto returned = row.amount - amount;
    const bool hasChanges = returned > Base::Tokens() || operation->isClosing || !row.isFenced
        || !operation->bills.empty() || !operation->uncharged.empty();
    if (!hasChanges)
        return finish(operation);
    ledger.granted -= returned;
    row.amount = amount;
    row.isFenced = true;
    row.lastWrite = "";
    if (operation->isClosing) {
        ledger.granted -= row.amount;
        ledger.settled += row.amount;
        ledger.removeGrant(operation->id);
        transaction.remove(operation->id.text(), operation->version);
    } else {
        transaction.put(operation->id.text(), Platform::encodeRow(row), operation->version);
    }
    transaction.put(BudgetRow::rowKey(row.budget), Platform::encodeRow(ledger), budget.version);
    m_context.table.commit(std::move(transaction), [this, operation](Platform::CommitReply reply) {
        if (reply.outcome != Platform::CommitOutcome::Committed)
            return retry(operation);
        ++m_reclaimed;
        for (const auto number : operation->finished)
            m_witness.forget(operation->id, number);
        finish(operation);
    });
}

void GrantReclaimer::writeOff(const OperationPointer &operation)
{
    std::vector<std::string> keys{operation->id.text(), BudgetRow::rowKey(operation->row.budget)};
    m_context.table.readRows(std::move(keys), [this, operation](const Platform::RowsReply &reply) {
        if (!reply.isReachable || !reply.rows.at(0) || !reply.rows.at(1))
            return finish(operation);
        const auto row = Platform::decodeRow<GrantRow>(reply.rows.at(0)->value);
        auto ledger = Platform::decodeRow<BudgetRow>(reply.rows.at(1)->value);
        ledger.granted -= row.amount;
        ledger.settled += row.amount;
        ledger.removeGrant(operation->id);
        Platform::Transaction transaction;
        transaction.remove(operation->id.text(), reply.rows.at(0)->version);
        transaction.put(
            "loss/" + operation->id.text(), Platform::encodeRow(row), Platform::AbsentVersion);
        transaction.put(
            BudgetRow::rowKey(row.budget), Platform::encodeRow(ledger), reply.rows.at(1)->version);
        m_context.table.commit(
            std::move(transaction), [this, operation](Platform::CommitReply commit) {
                if (commit.outcome != Platform::CommitOutcome::Committed)
                    return retry(operation);
                ++m_writtenOff;
                finish(operation);
            });
    });
}

void GrantReclaimer::retry(const OperationPointer &operation)
{
    // After a conflict or a commit without a reply, all rows are read again.
    if (--operation->remainingTries <= 0)
        return finish(operation);
    operation->bills.clear();
    operation->uncharged.clear();
    operation->finished.clear();
    Base::ExponentialBackoff backoff(m_policy.minBackoff * 2, m_policy.maxBackoff);
    m_context.scheduler.schedule(
        backoff.nextDelay(m_context.random), [this, operation] { begin(operation); });
}

void GrantReclaimer::finish(const OperationPointer &operation)
{
    m_queued.erase(operation->id);
    m_isProcessing = false;
    startNext();
}

} // namespace Carawaykeel::Budget
