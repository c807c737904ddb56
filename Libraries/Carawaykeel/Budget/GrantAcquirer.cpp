#include <Carawaykeel/Budget/GrantAcquirer.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

GrantAcquirer::GrantAcquirer(
    Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &registry)
    : m_context(context)
    , m_policy(policy)
    , m_grants(registry)
{
}

void GrantAcquirer::acquire(
    AcquireRequest request, std::function<void(AcquireOutcome, Base::Tokens)> callback)
{
    auto acquisition = std::make_shared<Acquisition>(Acquisition{std::move(request),
        std::move(callback), m_context.scheduler.now() + m_policy.grantTimeout,
        Base::ExponentialBackoff(m_policy.minBackoff, m_policy.maxBackoff), {}, {}});
    const auto it = m_unresolved.find(acquisition->request.budget);
    if (it != m_unresolved.end()) {
        acquisition->planned = std::move(it->second);
        m_unresolved.erase(it);
    }
    ++m_inProgress;
    read(acquisition);
}

void GrantAcquirer::read(const AcquisitionPointer &acquisition)
{
    std::vector<std::string> keys{BudgetRow::rowKey(acquisition->request.budget)};
    for (const auto &planned : acquisition->planned)
        keys.push_back(planned.id.text());
    m_context.table.readRows(std::move(keys),
        [this, acquisition](const Platform::RowsReply &reply) { decide(acquisition, reply); });
}

void GrantAcquirer::decide(const AcquisitionPointer &acquisition, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return retryLater(acquisition);
    if (!reply.rows.front())
        return finish(acquisition, AcquireOutcome::NoSuchBudget);
    if (adoptCommitted(*acquisition, reply))
        return finish(acquisition, AcquireOutcome::Acquired);
    dropExpiredPlans(*acquisition, reply.rows.front()->version);
    auto row = Platform::decodeRow<BudgetRow>(reply.rows.front()->value);
    acquisition->available = row.available();
    const auto needed = acquisition->request.needed;
    if (row.available() + row.granted < needed)
        return finish(acquisition, AcquireOutcome::InsufficientTotal);
    if (row.available() < needed)
        return finish(acquisition, AcquireOutcome::InsufficientAvailable);
    plan(*acquisition);
    commit(acquisition, std::move(row), reply.rows.front()->version);
}

bool GrantAcquirer::adoptCommitted(Acquisition &acquisition, const Platform::RowsReply &reply)
{
    bool hasAdopted = false;
    for (std::size_t n = 0; n < acquisition.planned.size(); ++n) {
        const auto &row = reply.rows.at(n + 1);
        if (!row)
            continue;
        auto planned = acquisition.planned[n];
        planned.row = Platform::decodeRow<GrantRow>(row->value);
        addGrant(acquisition, planned, row->version);
        hasAdopted = true;
    }
    if (hasAdopted)
        acquisition.planned.clear();
    return hasAdopted;
}

void GrantAcquirer::plan(Acquisition &acquisition)
{
    const auto &request = acquisition.request;
    auto remaining = acquisition.available;
    std::vector<PlannedGrant> planned;
    for (const auto &requested : request.grants) {
        const bool isFirst = planned.empty();
        const auto share = acquisition.available / m_policy.shareDivisor;
        const auto size = std::min(requested.tokens, share);
        const auto amount = std::min(remaining, isFirst ? std::max(request.needed, size) : size);
        if (amount <= Base::Tokens())
            break;
        const auto n = planned.size();
        const auto id = n < acquisition.planned.size()
            ? acquisition.planned[n].id
            : GrantRow::makeId(m_context.self, ++m_sequence);
        planned.push_back({id,
            GrantRow{request.budget, m_context.self, requested.witness, amount, Base::Tokens(),
                false, ""},
            requested.hasLocalWitness});
        remaining -= amount;
    }
    // Keeps track of the grant ids of a pending commit that this plan does not reuse.
    for (auto n = planned.size(); n < acquisition.planned.size(); ++n)
        m_unresolved[request.budget].push_back(acquisition.planned[n]);
    acquisition.planned = std::move(planned);
}

void GrantAcquirer::commit(
    const AcquisitionPointer &acquisition, BudgetRow row, std::uint64_t version)
{
    Platform::Transaction transaction;
    for (auto &planned : acquisition->planned) {
        planned.budgetVersion = version;
        row.granted += planned.row.amount;
        row.grants.push_back(planned.id);
        transaction.put(
            planned.id.text(), Platform::encodeRow(planned.row), Platform::AbsentVersion);
    }
    transaction.put(
        BudgetRow::rowKey(acquisition->request.budget), Platform::encodeRow(row), version);
    m_context.table.commit(
        std::move(transaction), [this, acquisition](Platform::CommitReply reply) {
            if (reply.outcome != Platform::CommitOutcome::Committed)
                return retryLater(acquisition);
            for (const auto &planned : acquisition->planned)
                addGrant(*acquisition, planned, reply.version);
            acquisition->planned.clear();
            finish(acquisition, AcquireOutcome::Acquired);
        });
}

void GrantAcquirer::addGrant(
    Acquisition &acquisition, const PlannedGrant &planned, std::uint64_t version)
{
    if (m_grants.find(planned.id))
        return;
    HeldGrant grant;
    grant.id = planned.id;
    grant.lastUsed = m_context.scheduler.now();
    grant.hasLocalWitness = planned.hasLocalWitness;
    GrantRegistry::adoptRow(grant, planned.row, version);
    acquisition.available -= planned.row.amount;
    m_grants.add(std::move(grant));
}

void GrantAcquirer::retryLater(const AcquisitionPointer &acquisition)
{
    const auto delay = acquisition->backoff.nextDelay(m_context.random);
    if (m_context.scheduler.now() + delay >= acquisition->deadline)
        return finish(acquisition, AcquireOutcome::Unreachable);
    m_context.scheduler.schedule(delay, [this, acquisition] { read(acquisition); });
}

void GrantAcquirer::finish(const AcquisitionPointer &acquisition, AcquireOutcome outcome)
{
    --m_inProgress;
    std::erase_if(acquisition->planned, [](const PlannedGrant &planned) {
        return planned.budgetVersion == Platform::AbsentVersion;
    });
    if (!acquisition->planned.empty()) {
        auto &unresolved = m_unresolved[acquisition->request.budget];
        unresolved.insert(
            unresolved.end(), acquisition->planned.begin(), acquisition->planned.end());
    }
    acquisition->callback(outcome, acquisition->available);
}

void GrantAcquirer::dropExpiredPlans(Acquisition &acquisition, std::uint64_t budgetVersion)
{
    std::erase_if(acquisition.planned, [&](const PlannedGrant &planned) {
        return planned.budgetVersion != Platform::AbsentVersion
            && planned.budgetVersion != budgetVersion;
    });
}

void GrantAcquirer::resolve()
{
    if (m_unresolved.empty() || m_inProgress > 0)
        return;
    const auto it = m_unresolved.begin();
    auto acquisition = std::make_shared<Acquisition>(
        Acquisition{{it->first, {}, {}}, [](AcquireOutcome, Base::Tokens) {}, {},
            Base::ExponentialBackoff(m_policy.minBackoff, m_policy.maxBackoff),
            std::move(it->second), {}});
    m_unresolved.erase(it);
    ++m_inProgress;
    std::vector<std::string> keys{BudgetRow::rowKey(acquisition->request.budget)};
    for (const auto &planned : acquisition->planned)
        keys.push_back(planned.id.text());
    m_context.table.readRows(
        std::move(keys), [this, acquisition](const Platform::RowsReply &reply) {
            resolveUnresolved(acquisition, reply);
        });
}

void GrantAcquirer::resolveUnresolved(
    const AcquisitionPointer &acquisition, const Platform::RowsReply &reply)
{
    if (!reply.isReachable || !reply.rows.front())
        return finish(acquisition, AcquireOutcome::Unreachable);
    adoptCommitted(*acquisition, reply);
    const auto &row = *reply.rows.front();
    dropExpiredPlans(*acquisition, row.version);
    if (acquisition->planned.empty())
        return finish(acquisition, AcquireOutcome::Acquired);
    // Writing the row unchanged gives it a new version, so that the pending commit can no longer
    // take effect.
    Platform::Transaction transaction;
    transaction.put(row.key, row.value, row.version);
    m_context.table.commit(
        std::move(transaction), [this, acquisition](Platform::CommitReply commit) {
            if (commit.outcome == Platform::CommitOutcome::Committed)
                acquisition->planned.clear();
            finish(acquisition, AcquireOutcome::Acquired);
        });
}

} // namespace Carawaykeel::Budget
