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
constexpr int Tries = 8;
/// Searches without a find after which a life that is over is left to the sweeps.
constexpr int EmptySearches = 3;
constexpr std::int64_t InstancesPerSearch = 16;

} // namespace

GrantReclaimer::GrantReclaimer(Base::InstanceContext &context, const BudgetPolicy &policy,
    GrantWitness &witness, const FailureDetector &lives, AttemptLookup &attempts)
    : m_context(context)
    , m_policy(policy)
    , m_witness(witness)
    , m_lives(lives)
    , m_attempts(attempts)
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
        searchMissing();
        scheduleSearch();
    });
}

void GrantReclaimer::scheduleSweep()
{
    // The whole fleet together sweeps about as often as one instance would alone.
    const auto interval =
        m_policy.sweepInterval * static_cast<std::int64_t>(m_lives.knownInstances());
    const auto pause = m_hasSwept ? interval : m_policy.reclaimInterval * 2;
    m_hasSwept = true;
    m_context.scheduler.schedule(withJitter(pause), [this] {
        search(std::string(GrantPrefix));
        scheduleSweep();
    });
}

Base::Milliseconds GrantReclaimer::withJitter(Base::Milliseconds pause)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, pause.count() / 4);
    return pause + Base::Milliseconds(jitter(m_context.random));
}

void GrantReclaimer::searchMissing()
{
    const auto now = m_context.scheduler.now();
    for (const auto &life : m_lives.failedIncarnations()) {
        auto &record = m_searched[life];
        // Who has recorded nothing for the life looks less often the more instances there are.
        const auto factor = isWitnessOf(life)
            ? 1
            : 1 + static_cast<std::int64_t>(m_lives.knownInstances()) / InstancesPerSearch;
        const bool isDue = now - record.when >= m_policy.reclaimInterval * factor;
        if (!isDue || record.emptySearches >= EmptySearches)
            continue;
        record.when = now;
        search(GrantRow::holderPrefix(life), life);
    }
}

bool GrantReclaimer::isWitnessOf(const Base::InstanceId &life) const
{
    const auto prefix = GrantRow::holderPrefix(life);
    const auto it = m_witness.grants().lower_bound(Base::GrantId(prefix));
    return it != m_witness.grants().end() && it->first.text().starts_with(prefix);
}

void GrantReclaimer::search(const std::string &prefix, const std::optional<Base::InstanceId> &life)
{
    m_context.table.readRange(prefix, [this, life](const Platform::RangeReply &reply) {
        if (!reply.isReachable)
            return;
        if (life) {
            // Only a life that is over stays without grants once it has none.
            const bool isOver = m_lives.livenessOf(*life) == Liveness::ConfirmedDead;
            auto &searches = m_searched[*life].emptySearches;
            searches = reply.rows.empty() && isOver ? searches + 1 : 0;
        }
        for (const auto &row : reply.rows)
            consider(row);
        workOnNext();
    });
}

void GrantReclaimer::consider(const Platform::Row &row)
{
    const Base::GrantId id(row.key);
    const auto grant = Platform::decodeRow<GrantRow>(row.value);
    const auto holder = m_lives.livenessOf(grant.holder);
    if (grant.holder == m_context.self || holder == Liveness::Alive || m_queued.contains(id))
        return;
    const bool isWitness = grant.witness == m_context.self;
    const bool isWitnessDead = m_lives.livenessOf(grant.witness) == Liveness::ConfirmedDead;
    const bool isWriteOff = !isWitness && holder == Liveness::ConfirmedDead && isWitnessDead;
    if (!isWitness && !isWriteOff)
        return;
    auto operation = std::make_shared<Operation>();
    operation->id = id;
    operation->row = grant;
    operation->isWriteOff = isWriteOff;
    operation->triesLeft = Tries;
    m_queued.insert(id);
    m_queue.push_back(std::move(operation));
}

void GrantReclaimer::workOnNext()
{
    if (m_isWorking || m_queue.empty())
        return;
    m_isWorking = true;
    const auto operation = m_queue.front();
    m_queue.pop_front();
    begin(operation);
}

void GrantReclaimer::begin(const OperationPointer &operation)
{
    // It may have come back while the grant waited for its turn.
    if (m_lives.livenessOf(operation->row.holder) == Liveness::Alive)
        return finish(operation);
    if (operation->isWriteOff)
        return writeOff(operation);
    m_witness.fence(operation->id);
    askEngines(operation);
}

void GrantReclaimer::askEngines(const OperationPointer &operation)
{
    auto reports = std::make_shared<Reports>();
    auto pending = std::make_shared<std::size_t>(1);
    auto countDown = [this, operation, reports, pending] {
        if (--*pending == 0)
            read(operation, reports);
    };
    for (const auto &[number, reservation] : m_witness.fence(operation->id).open) {
        if (reservation.bill || !mayBillOpen(*operation, reservation))
            continue;
        // NOTE: A holder that may still wake can dispatch after the engines were asked, so what
        // they say counts only once it is certainly dead; until then the whole reservation is
        // billed.
        if (m_lives.livenessOf(operation->row.holder) != Liveness::ConfirmedDead) {
            reports->emplace(number, AttemptLookupResult{});
            continue;
        }
        ++*pending;
        m_attempts.lookUp(reservation.service, operation->id, number,
            [reports, number = number, countDown](AttemptLookupResult report) {
                reports->emplace(number, report);
                countDown();
            });
    }
    countDown();
}

bool GrantReclaimer::mayBillOpen(
    const Operation &operation, const WitnessedReservation &reservation) const
{
    const bool isDead = m_lives.livenessOf(operation.row.holder) == Liveness::ConfirmedDead;
    const auto age = m_context.scheduler.now() - reservation.recordedAt;
    return isDead || age >= m_policy.reservationExpiry;
}

void GrantReclaimer::read(
    const OperationPointer &operation, const std::shared_ptr<Reports> &reports)
{
    std::vector<std::string> keys{operation->id.text(), BudgetRow::rowKey(operation->row.budget)};
    std::vector<std::uint64_t> asked;
    for (const auto &[number, reservation] : m_witness.fence(operation->id).open) {
        asked.push_back(number);
        const auto bill = billFor(*operation, number, reservation, Base::Tokens());
        keys.push_back(bill.rowKey());
        keys.push_back(bill.unchargedRowKey());
    }
    m_context.table.readRows(
        std::move(keys), [this, operation, reports, asked](const Platform::RowsReply &reply) {
            decide(operation, *reports, asked, reply);
        });
}

void GrantReclaimer::decide(const OperationPointer &operation, const Reports &reports,
    const std::vector<std::uint64_t> &asked, const Platform::RowsReply &reply)
{
    if (!reply.isReachable || !reply.rows.at(0) || !reply.rows.at(1))
        return finish(operation);
    operation->row = Platform::decodeRow<GrantRow>(reply.rows.at(0)->value);
    operation->version = reply.rows.at(0)->version;
    collectBills(*operation, reports, asked, reply);
    commit(operation, *reply.rows.at(1));
}

void GrantReclaimer::collectBills(Operation &operation, const Reports &reports,
    const std::vector<std::uint64_t> &asked, const Platform::RowsReply &reply)
{
    auto &grant = m_witness.fence(operation.id);
    auto left = operation.row.amount - operation.row.settled;
    std::vector<std::uint64_t> unsettled;
    for (std::size_t n = 0; n < asked.size(); ++n) {
        const auto it = grant.open.find(asked[n]);
        if (it == grant.open.end())
            continue;
        const auto &present = reply.rows.at(FixedRows + n * RowsPerReservation);
        const auto &house = reply.rows.at(FixedRows + n * RowsPerReservation + 1);
        const auto own = billFor(operation, asked[n], it->second, Base::Tokens());
        const bool isOwn =
            present && Platform::decodeRow<Billing::Bill>(present->value).isSameRun(own);
        if (isOwn || house) {
            operation.finished.push_back(asked[n]);
            continue;
        }
        if (present) {
            bearByHouse(operation, asked[n], it->second, reports);
            continue;
        }
        if (!it->second.bill) {
            unsettled.push_back(asked[n]);
            continue;
        }
        operation.bills.push_back(*it->second.bill);
        left -= it->second.bill->tokens;
        operation.finished.push_back(asked[n]);
    }
    for (const auto number : unsettled) {
        const auto report = reports.find(number);
        if (report == reports.end())
            continue;
        estimate(operation, number, report->second, left);
        operation.finished.push_back(number);
    }
}

Billing::Bill GrantReclaimer::billFor(const Operation &operation, std::uint64_t number,
    const WitnessedReservation &reservation, Base::Tokens tokens)
{
    return {reservation.team, reservation.request, reservation.budget, operation.id, number, tokens,
        true};
}

void GrantReclaimer::bearByHouse(Operation &operation, std::uint64_t number,
    const WitnessedReservation &reservation, const Reports &reports)
{
    // Another run of the request was billed. This one's tokens go back to the budget, and a row of
    // its own says what the house bears.
    const auto report = reports.find(number);
    if (!reservation.bill && report == reports.end())
        return;
    const auto tokens =
        reservation.bill ? reservation.bill->tokens : tokensOf(report->second, reservation);
    operation.finished.push_back(number);
    if (tokens > Base::Tokens())
        operation.house.push_back(billFor(operation, number, reservation, tokens));
}

Base::Tokens GrantReclaimer::tokensOf(
    const AttemptLookupResult &report, const WitnessedReservation &reservation)
{
    switch (report.status) {
    case AttemptStatus::NeverSeen:
        return {};
    case AttemptStatus::Finished:
        return std::min(report.tokens, reservation.tokens);
    case AttemptStatus::Unknown:
        break;
    }
    return reservation.tokens;
}

void GrantReclaimer::estimate(Operation &operation, std::uint64_t number,
    const AttemptLookupResult &report, Base::Tokens &left)
{
    if (report.status == AttemptStatus::NeverSeen)
        return;
    const auto &reservation = m_witness.fence(operation.id).open.at(number);
    // The holder may have settled it for less and returned the rest, and its word been lost on the
    // way here; so no more is billed than the grant still has.
    const auto tokens = std::min(tokensOf(report, reservation), left);
    left -= tokens;
    operation.bills.push_back(billFor(operation, number, reservation, tokens));
}

void GrantReclaimer::commit(const OperationPointer &operation, const Platform::Row &budget)
{
    auto row = operation->row;
    auto books = Platform::decodeRow<BudgetRow>(budget.value);
    Platform::Transaction transaction;
    for (const auto &bill : operation->bills) {
        row.settled += bill.tokens;
        transaction.put(bill.rowKey(), Platform::encodeRow(bill), Platform::AbsentVersion);
    }
    for (const auto &bill : operation->house)
        transaction.put(bill.unchargedRowKey(), Platform::encodeRow(bill), Platform::AbsentVersion);
    const auto &grant = m_witness.fence(operation->id);
    Base::Tokens stillOpen;
    for (const auto &[number, reservation] : grant.open) {
        if (std::find(operation->finished.begin(), operation->finished.end(), number)
            == operation->finished.end())
            stillOpen += reservation.bill ? reservation.bill->tokens : reservation.tokens;
    }
    operation->isClosing = grant.open.size() == operation->finished.size();
    const auto amount = std::min(row.amount, row.settled + stillOpen);
    const auto back = row.amount - amount;
    const bool isNews = back > Base::Tokens() || operation->isClosing || !row.isFenced
        || !operation->bills.empty() || !operation->house.empty();
    if (!isNews)
        return finish(operation);
    books.granted -= back;
    row.amount = amount;
    row.isFenced = true;
    row.lastWrite = "";
    if (operation->isClosing) {
        books.granted -= row.amount;
        books.settled += row.amount;
        books.removeGrant(operation->id);
        transaction.remove(operation->id.text(), operation->version);
    } else {
        transaction.put(operation->id.text(), Platform::encodeRow(row), operation->version);
    }
    transaction.put(BudgetRow::rowKey(row.budget), Platform::encodeRow(books), budget.version);
    m_context.table.commit(std::move(transaction), [this, operation](Platform::CommitReply reply) {
        if (reply.outcome != Platform::CommitOutcome::Committed)
            return tryAgain(operation);
        ++m_reclaimed;
        for (const auto number : operation->finished)
            m_witness.finish(operation->id, number);
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
        auto books = Platform::decodeRow<BudgetRow>(reply.rows.at(1)->value);
        books.granted -= row.amount;
        books.settled += row.amount;
        books.removeGrant(operation->id);
        Platform::Transaction transaction;
        transaction.remove(operation->id.text(), reply.rows.at(0)->version);
        transaction.put(
            "loss/" + operation->id.text(), Platform::encodeRow(row), Platform::AbsentVersion);
        transaction.put(
            BudgetRow::rowKey(row.budget), Platform::encodeRow(books), reply.rows.at(1)->version);
        m_context.table.commit(
            std::move(transaction), [this, operation](Platform::CommitReply commit) {
                if (commit.outcome != Platform::CommitOutcome::Committed)
                    return tryAgain(operation);
                ++m_writtenOff;
                finish(operation);
            });
    });
}

void GrantReclaimer::tryAgain(const OperationPointer &operation)
{
    // After a conflict or a lost answer everything is read and decided anew.
    if (--operation->triesLeft <= 0)
        return finish(operation);
    operation->bills.clear();
    operation->house.clear();
    operation->finished.clear();
    Base::ExponentialBackoff backOff(m_policy.smallestBackOff * 2, m_policy.largestBackOff);
    m_context.scheduler.schedule(
        backOff.nextDelay(m_context.random), [this, operation] { begin(operation); });
}

void GrantReclaimer::finish(const OperationPointer &operation)
{
    m_queued.erase(operation->id);
    m_isWorking = false;
    workOnNext();
}

} // namespace Carawaykeel::Budget
