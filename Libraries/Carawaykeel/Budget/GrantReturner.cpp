#include <Carawaykeel/Budget/GrantReturner.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr int MaxTries = 6;

bool isCloseable(const HeldGrant &grant)
{
    return grant.state == GrantState::Retiring && grant.reservations.empty();
}

} // namespace

GrantReturner::GrantReturner(
    Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &registry)
    : m_context(context)
    , m_policy(policy)
    , m_grants(registry)
{
}

void GrantReturner::returnTokens(
    const Base::GrantId &id, Base::Tokens keep, std::function<void(bool)> callback)
{
    auto *grant = m_grants.find(id);
    if (!grant)
        return callback(true);
    if (grant->isWriting)
        return callback(false);
    const auto excess = std::max(Base::Tokens(), grant->unreserved() - keep);
    const bool isReturnPending = grant->returning > Base::Tokens();
    if (excess == Base::Tokens() && !isReturnPending && !isCloseable(*grant))
        return callback(true);
    grant->returning += excess;
    grant->isWriting = true;
    read(std::make_shared<Operation>(Operation{id, std::move(callback),
        Base::ExponentialBackoff(m_policy.minBackoff, m_policy.maxBackoff), MaxTries, ""}));
}

void GrantReturner::read(const OperationPointer &operation)
{
    const auto *grant = m_grants.find(operation->id);
    if (!grant)
        return operation->callback(true);
    std::vector<std::string> keys{BudgetRow::rowKey(grant->row.budget), operation->id.text()};
    m_context.table.readRows(std::move(keys),
        [this, operation](const Platform::RowsReply &reply) { decide(operation, reply); });
}

void GrantReturner::decide(const OperationPointer &operation, const Platform::RowsReply &reply)
{
    auto *grant = m_grants.find(operation->id);
    if (!grant)
        return operation->callback(true);
    if (!reply.isReachable)
        return retryLater(operation);
    const auto &budget = reply.rows.at(0);
    const auto &row = reply.rows.at(1);
    if (!row || !budget) {
        m_grants.remove(operation->id);
        return operation->callback(true);
    }
    const auto read = Platform::decodeRow<GrantRow>(row->value);
    const bool isCommitted =
        !operation->writeMark.empty() && read.lastWrite == operation->writeMark;
    GrantRegistry::adoptRow(*grant, read, row->version);
    if (grant->pendingReturnVersion != row->version)
        grant->pendingReturnVersion.reset();
    if (isCommitted)
        clearReturning(*grant);
    if (isCommitted && !isCloseable(*grant))
        return finish(operation, true);
    commit(operation, *grant, *budget);
}

void GrantReturner::commit(
    const OperationPointer &operation, HeldGrant &grant, const Platform::Row &budget)
{
    // Another writer may have reduced the grant in the meantime; never returns more than the row
    // has.
    const auto used = grant.row.settled + grant.unflushed + grant.reserved;
    grant.returning = std::clamp(grant.row.amount - used, Base::Tokens(), grant.returning);
    auto ledger = Platform::decodeRow<BudgetRow>(budget.value);
    auto row = grant.row;
    row.amount -= grant.returning;
    row.lastWrite = m_context.self.name.text() + "." + std::to_string(m_context.self.incarnation)
        + "-return-" + std::to_string(++m_lastMark);
    operation->writeMark = row.lastWrite;
    const bool isClosing = isCloseable(grant);
    Platform::Transaction transaction;
    if (isClosing) {
        ledger.granted -= grant.row.amount;
        ledger.settled += grant.row.settled;
        ledger.removeGrant(grant.id);
        transaction.remove(grant.id.text(), grant.version);
    } else {
        ledger.granted -= grant.returning;
        transaction.put(grant.id.text(), Platform::encodeRow(row), grant.version);
    }
    transaction.put(
        BudgetRow::rowKey(grant.row.budget), Platform::encodeRow(ledger), budget.version);
    grant.pendingReturnVersion = grant.version;
    m_context.table.commit(
        std::move(transaction), [this, operation, isClosing, row](Platform::CommitReply reply) {
            auto *held = m_grants.find(operation->id);
            if (!held || reply.outcome != Platform::CommitOutcome::Committed)
                return retryLater(operation);
            if (isClosing) {
                m_grants.remove(operation->id);
                return operation->callback(true);
            }
            held->row = row;
            held->version = reply.version;
            held->pendingReturnVersion.reset();
            clearReturning(*held);
            finish(operation, true);
        });
}

void GrantReturner::clearReturning(HeldGrant &grant)
{
    grant.returning = Base::Tokens();
}

void GrantReturner::retryLater(const OperationPointer &operation)
{
    if (--operation->remainingTries <= 0)
        return finish(operation, false);
    const auto delay = operation->backoff.nextDelay(m_context.random);
    m_context.scheduler.schedule(delay, [this, operation] { read(operation); });
}

void GrantReturner::finish(const OperationPointer &operation, bool isReturned)
{
    if (auto *grant = m_grants.find(operation->id)) {
        grant->isWriting = false;
        // While a commit of this or an earlier operation may still take effect, its tokens must not
        // be spent.
        if (!isReturned && !grant->pendingReturnVersion)
            grant->returning = Base::Tokens();
    }
    operation->callback(isReturned);
}

} // namespace Carawaykeel::Budget
