#include <Carawaykeel/Budget/TopUpWriter.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <utility>

namespace Carawaykeel::Budget {

TopUpWriter::TopUpWriter(Base::InstanceContext &context, const BudgetPolicy &policy)
    : m_context(context)
    , m_policy(policy)
{
}

void TopUpWriter::setDeclared(const Base::BudgetId &budget, std::vector<TopUpOrder> orders)
{
    m_declared[budget] = std::move(orders);
}

void TopUpWriter::ensureDeclaredCounted(
    const Base::BudgetId &budget, std::function<void(bool)> callback)
{
    std::vector<TopUpOrder> missing;
    const auto it = m_declared.find(budget);
    if (it != m_declared.end()) {
        for (const auto &order : it->second) {
            if (!m_counted[budget].contains(order.id))
                missing.push_back(order);
        }
    }
    if (missing.empty())
        return callback(true);
    write(budget, std::move(missing), m_policy.grantTimeout,
        [callback](const Base::Outcome<BudgetRow> &outcome) {
            const auto *failure = std::get_if<Base::Failure>(&outcome);
            callback(!failure || failure->kind != Base::ErrorKind::PlatformUnreachable);
        });
}

void TopUpWriter::topUp(const Base::BudgetId &budget, const TopUpOrder &order,
    std::function<void(Base::Outcome<BudgetRow>)> callback)
{
    write(budget, {order}, m_policy.topUpTimeout, std::move(callback));
}

void TopUpWriter::write(const Base::BudgetId &budget, std::vector<TopUpOrder> orders,
    Base::Milliseconds timeout, std::function<void(Base::Outcome<BudgetRow>)> callback)
{
    read(std::make_shared<Operation>(Operation{budget, std::move(orders), std::move(callback),
        Base::ExponentialBackoff(m_policy.minBackoff, m_policy.maxBackoff),
        m_context.scheduler.now() + timeout}));
}

void TopUpWriter::read(const OperationPointer &operation)
{
    std::vector<std::string> keys{BudgetRow::rowKey(operation->budget)};
    for (const auto &order : operation->orders)
        keys.push_back(TopUpRow::rowKey(operation->budget, order.id));
    m_context.table.readRows(std::move(keys),
        [this, operation](const Platform::RowsReply &reply) { decide(operation, reply); });
}

void TopUpWriter::decide(const OperationPointer &operation, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return retryLater(operation);
    BudgetRow ledger;
    std::uint64_t version = Platform::AbsentVersion;
    if (const auto &row = reply.rows.front()) {
        ledger = Platform::decodeRow<BudgetRow>(row->value);
        version = row->version;
    }
    Platform::Transaction transaction;
    for (std::size_t n = 0; n < operation->orders.size(); ++n) {
        const auto &order = operation->orders[n];
        if (const auto &counted = reply.rows.at(n + 1)) {
            m_counted[operation->budget].insert(order.id);
            if (Platform::decodeRow<TopUpRow>(counted->value).tokens != order.tokens) {
                return operation->callback(Base::Failure{Base::ErrorKind::VersionConflict,
                    "top-up " + order.id.text() + " was counted with another amount", {}});
            }
            continue;
        }
        ledger.toppedUp += order.tokens;
        transaction.put(TopUpRow::rowKey(operation->budget, order.id),
            Platform::encodeRow(TopUpRow{order.tokens}), Platform::AbsentVersion);
    }
    if (transaction.writes.empty())
        return operation->callback(ledger);
    transaction.put(BudgetRow::rowKey(operation->budget), Platform::encodeRow(ledger), version);
    m_context.table.commit(
        std::move(transaction), [this, operation, ledger](Platform::CommitReply commit) {
            // After a conflict or a lost reply the rows are read again: a counted top-up has its
            // own row.
            if (commit.outcome != Platform::CommitOutcome::Committed)
                return retryLater(operation);
            for (const auto &order : operation->orders)
                m_counted[operation->budget].insert(order.id);
            operation->callback(ledger);
        });
}

void TopUpWriter::retryLater(const OperationPointer &operation)
{
    const auto delay = operation->backoff.nextDelay(m_context.random);
    if (m_context.scheduler.now() + delay >= operation->deadline) {
        return operation->callback(Base::Failure{Base::ErrorKind::PlatformUnreachable,
            "the top-up may have been counted; try the same id again", Base::Milliseconds(1'000)});
    }
    m_context.scheduler.schedule(delay, [this, operation] { read(operation); });
}

} // namespace Carawaykeel::Budget
