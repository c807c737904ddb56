#include <Carawaykeel/Budget/GrantAcquirer.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

GrantAcquirer::GrantAcquirer(
    Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book)
    : m_context(context)
    , m_policy(policy)
    , m_book(book)
{
}

void GrantAcquirer::acquire(
    AcquireRequest request, std::function<void(AcquireOutcome, Base::Tokens)> answer)
{
    auto attempt = std::make_shared<Attempt>(Attempt{std::move(request), std::move(answer),
        m_context.scheduler.now() + m_policy.grantDeadline,
        Base::ExponentialBackoff(m_policy.smallestBackOff, m_policy.largestBackOff), {}, {}});
    const auto it = m_unresolved.find(attempt->request.budget);
    if (it != m_unresolved.end()) {
        attempt->planned = std::move(it->second);
        m_unresolved.erase(it);
    }
    ++m_open;
    read(attempt);
}

void GrantAcquirer::read(const AttemptPointer &attempt)
{
    std::vector<std::string> keys{BudgetRow::rowKey(attempt->request.budget)};
    for (const auto &planned : attempt->planned)
        keys.push_back(planned.id.text());
    m_context.table.readRows(std::move(keys),
        [this, attempt](const Platform::RowsReply &reply) { decide(attempt, reply); });
}

void GrantAcquirer::decide(const AttemptPointer &attempt, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return tryLater(attempt);
    if (!reply.rows.front())
        return finish(attempt, AcquireOutcome::NoSuchBudget);
    if (adoptPlanned(*attempt, reply))
        return finish(attempt, AcquireOutcome::Acquired);
    dropDead(*attempt, reply.rows.front()->version);
    auto row = Platform::decodeRow<BudgetRow>(reply.rows.front()->value);
    attempt->available = row.available();
    const auto needed = attempt->request.needed;
    if (row.available() + row.granted < needed)
        return finish(attempt, AcquireOutcome::BudgetIsShort);
    if (row.available() < needed)
        return finish(attempt, AcquireOutcome::RowIsShort);
    plan(*attempt);
    commit(attempt, std::move(row), reply.rows.front()->version);
}

bool GrantAcquirer::adoptPlanned(Attempt &attempt, const Platform::RowsReply &reply)
{
    bool hasAdopted = false;
    for (std::size_t n = 0; n < attempt.planned.size(); ++n) {
        const auto &row = reply.rows.at(n + 1);
        if (!row)
            continue;
        auto planned = attempt.planned[n];
        planned.row = Platform::decodeRow<GrantRow>(row->value);
        take(attempt, planned, row->version);
        hasAdopted = true;
    }
    if (hasAdopted)
        attempt.planned.clear();
    return hasAdopted;
}

void GrantAcquirer::plan(Attempt &attempt)
{
    const auto &request = attempt.request;
    auto left = attempt.available;
    std::vector<PlannedGrant> planned;
    for (const auto &wanted : request.grants) {
        const bool isFirst = planned.empty();
        const auto share = attempt.available / m_policy.shareDivisor;
        const auto size = std::min(wanted.tokens, share);
        const auto amount = std::min(left, isFirst ? std::max(request.needed, size) : size);
        if (amount <= Base::Tokens())
            break;
        const auto n = planned.size();
        const auto id = n < attempt.planned.size() ? attempt.planned[n].id
                                                   : GrantRow::makeId(m_context.self, ++m_sequence);
        planned.push_back({id,
            GrantRow{
                request.budget, m_context.self, wanted.witness, amount, Base::Tokens(), false, ""},
            wanted.isNear});
        left -= amount;
    }
    // Ids of an unresolved try that this plan does not use again stay watched.
    for (auto n = planned.size(); n < attempt.planned.size(); ++n)
        m_unresolved[request.budget].push_back(attempt.planned[n]);
    attempt.planned = std::move(planned);
}

void GrantAcquirer::commit(const AttemptPointer &attempt, BudgetRow row, std::uint64_t version)
{
    Platform::Transaction transaction;
    for (auto &planned : attempt->planned) {
        planned.budgetVersion = version;
        row.granted += planned.row.amount;
        row.grants.push_back(planned.id);
        transaction.put(
            planned.id.text(), Platform::encodeRow(planned.row), Platform::AbsentVersion);
    }
    transaction.put(BudgetRow::rowKey(attempt->request.budget), Platform::encodeRow(row), version);
    m_context.table.commit(std::move(transaction), [this, attempt](Platform::CommitReply reply) {
        if (reply.outcome != Platform::CommitOutcome::Committed)
            return tryLater(attempt);
        for (const auto &planned : attempt->planned)
            take(*attempt, planned, reply.version);
        attempt->planned.clear();
        finish(attempt, AcquireOutcome::Acquired);
    });
}

void GrantAcquirer::take(Attempt &attempt, const PlannedGrant &planned, std::uint64_t version)
{
    if (m_book.find(planned.id))
        return;
    HeldGrant grant;
    grant.id = planned.id;
    grant.lastUsed = m_context.scheduler.now();
    grant.hasLocalWitness = planned.isNear;
    GrantRegistry::adoptRow(grant, planned.row, version);
    attempt.available -= planned.row.amount;
    m_book.add(std::move(grant));
}

void GrantAcquirer::tryLater(const AttemptPointer &attempt)
{
    const auto pause = attempt->backOff.nextDelay(m_context.random);
    if (m_context.scheduler.now() + pause >= attempt->deadline)
        return finish(attempt, AcquireOutcome::Unreachable);
    m_context.scheduler.schedule(pause, [this, attempt] { read(attempt); });
}

void GrantAcquirer::finish(const AttemptPointer &attempt, AcquireOutcome outcome)
{
    --m_open;
    std::erase_if(attempt->planned, [](const PlannedGrant &planned) {
        return planned.budgetVersion == Platform::AbsentVersion;
    });
    if (!attempt->planned.empty()) {
        auto &unresolved = m_unresolved[attempt->request.budget];
        unresolved.insert(unresolved.end(), attempt->planned.begin(), attempt->planned.end());
    }
    attempt->answer(outcome, attempt->available);
}

void GrantAcquirer::dropDead(Attempt &attempt, std::uint64_t budgetVersion)
{
    std::erase_if(attempt.planned, [&](const PlannedGrant &planned) {
        return planned.budgetVersion != Platform::AbsentVersion
            && planned.budgetVersion != budgetVersion;
    });
}

void GrantAcquirer::resolve()
{
    if (m_unresolved.empty() || m_open > 0)
        return;
    const auto it = m_unresolved.begin();
    auto attempt =
        std::make_shared<Attempt>(Attempt{{it->first, {}, {}}, [](AcquireOutcome, Base::Tokens) {},
            {}, Base::ExponentialBackoff(m_policy.smallestBackOff, m_policy.largestBackOff),
            std::move(it->second), {}});
    m_unresolved.erase(it);
    ++m_open;
    std::vector<std::string> keys{BudgetRow::rowKey(attempt->request.budget)};
    for (const auto &planned : attempt->planned)
        keys.push_back(planned.id.text());
    m_context.table.readRows(std::move(keys),
        [this, attempt](const Platform::RowsReply &reply) { settleUnresolved(attempt, reply); });
}

void GrantAcquirer::settleUnresolved(
    const AttemptPointer &attempt, const Platform::RowsReply &reply)
{
    if (!reply.isReachable || !reply.rows.front())
        return finish(attempt, AcquireOutcome::Unreachable);
    adoptPlanned(*attempt, reply);
    const auto &row = *reply.rows.front();
    dropDead(*attempt, row.version);
    if (attempt->planned.empty())
        return finish(attempt, AcquireOutcome::Acquired);
    // Writing the row anew, as it is, gives it another version: then the lost commit cannot land.
    Platform::Transaction transaction;
    transaction.put(row.key, row.value, row.version);
    m_context.table.commit(std::move(transaction), [this, attempt](Platform::CommitReply commit) {
        if (commit.outcome == Platform::CommitOutcome::Committed)
            attempt->planned.clear();
        finish(attempt, AcquireOutcome::Acquired);
    });
}

} // namespace Carawaykeel::Budget
