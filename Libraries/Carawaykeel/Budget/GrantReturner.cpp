#include <Carawaykeel/Budget/GrantReturner.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr int Tries = 6;

bool isCloseable(const HeldGrant &grant)
{
    return grant.state == GrantState::Retiring && grant.reservations.empty();
}

} // namespace

GrantReturner::GrantReturner(
    Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book)
    : m_context(context)
    , m_policy(policy)
    , m_book(book)
{
}

void GrantReturner::returnTokens(
    const Base::GrantId &id, Base::Tokens keep, std::function<void(bool)> answer)
{
    auto *grant = m_book.find(id);
    if (!grant)
        return answer(true);
    if (grant->isWriting)
        return answer(false);
    const auto excess = std::max(Base::Tokens(), grant->unreserved() - keep);
    const bool isUnderWay = grant->returning > Base::Tokens();
    if (excess == Base::Tokens() && !isUnderWay && !isCloseable(*grant))
        return answer(true);
    grant->returning += excess;
    grant->isWriting = true;
    read(std::make_shared<Operation>(Operation{id, std::move(answer),
        Base::ExponentialBackoff(m_policy.smallestBackOff, m_policy.largestBackOff), Tries, ""}));
}

void GrantReturner::read(const OperationPointer &operation)
{
    const auto *grant = m_book.find(operation->id);
    if (!grant)
        return operation->answer(true);
    std::vector<std::string> keys{BudgetRow::rowKey(grant->row.budget), operation->id.text()};
    m_context.table.readRows(std::move(keys),
        [this, operation](const Platform::RowsReply &reply) { decide(operation, reply); });
}

void GrantReturner::decide(const OperationPointer &operation, const Platform::RowsReply &reply)
{
    auto *grant = m_book.find(operation->id);
    if (!grant)
        return operation->answer(true);
    if (!reply.isReachable)
        return tryLater(operation);
    const auto &budget = reply.rows.at(0);
    const auto &row = reply.rows.at(1);
    if (!row || !budget) {
        m_book.remove(operation->id);
        return operation->answer(true);
    }
    const auto read = Platform::decodeRow<GrantRow>(row->value);
    const bool hasLanded = !operation->mark.empty() && read.lastWrite == operation->mark;
    GrantRegistry::adoptRow(*grant, read, row->version);
    if (grant->openReturn != row->version)
        grant->openReturn.reset();
    if (hasLanded)
        settleReturn(*grant);
    if (hasLanded && !isCloseable(*grant))
        return finish(operation, true);
    commit(operation, *grant, *budget);
}

void GrantReturner::commit(
    const OperationPointer &operation, HeldGrant &grant, const Platform::Row &budget)
{
    // Another writer may have trimmed the grant meanwhile; never return more than the row has.
    const auto used = grant.row.settled + grant.unflushed + grant.reserved;
    grant.returning = std::clamp(grant.row.amount - used, Base::Tokens(), grant.returning);
    auto books = Platform::decodeRow<BudgetRow>(budget.value);
    auto row = grant.row;
    row.amount -= grant.returning;
    row.lastWrite = m_context.self.name.text() + "." + std::to_string(m_context.self.incarnation)
        + "-return-" + std::to_string(++m_marks);
    operation->mark = row.lastWrite;
    const bool isClosing = isCloseable(grant);
    Platform::Transaction transaction;
    if (isClosing) {
        books.granted -= grant.row.amount;
        books.settled += grant.row.settled;
        books.removeGrant(grant.id);
        transaction.remove(grant.id.text(), grant.version);
    } else {
        books.granted -= grant.returning;
        transaction.put(grant.id.text(), Platform::encodeRow(row), grant.version);
    }
    transaction.put(
        BudgetRow::rowKey(grant.row.budget), Platform::encodeRow(books), budget.version);
    grant.openReturn = grant.version;
    m_context.table.commit(
        std::move(transaction), [this, operation, isClosing, row](Platform::CommitReply reply) {
            auto *held = m_book.find(operation->id);
            if (!held || reply.outcome != Platform::CommitOutcome::Committed)
                return tryLater(operation);
            if (isClosing) {
                m_book.remove(operation->id);
                return operation->answer(true);
            }
            held->row = row;
            held->version = reply.version;
            held->openReturn.reset();
            settleReturn(*held);
            finish(operation, true);
        });
}

void GrantReturner::settleReturn(HeldGrant &grant)
{
    grant.returning = Base::Tokens();
}

void GrantReturner::tryLater(const OperationPointer &operation)
{
    if (--operation->triesLeft <= 0)
        return finish(operation, false);
    const auto pause = operation->backOff.nextDelay(m_context.random);
    m_context.scheduler.schedule(pause, [this, operation] { read(operation); });
}

void GrantReturner::finish(const OperationPointer &operation, bool isDone)
{
    if (auto *grant = m_book.find(operation->id)) {
        grant->isWriting = false;
        // Tokens of a write that may still land, of this operation or an earlier one, stay off
        // limits.
        if (!isDone && !grant->openReturn)
            grant->returning = Base::Tokens();
    }
    operation->answer(isDone);
}

} // namespace Carawaykeel::Budget
