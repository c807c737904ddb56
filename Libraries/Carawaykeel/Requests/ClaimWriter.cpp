#include <Carawaykeel/Requests/ClaimWriter.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <utility>

namespace Carawaykeel::Requests {

namespace {

/// Claims that arrive within this time share a transaction.
constexpr Base::Milliseconds BatchDelay{3};
constexpr Base::Milliseconds RetryDelay{30};

} // namespace

ClaimWriter::ClaimWriter(Base::InstanceContext &context, Base::Milliseconds timeout)
    : m_context(context)
    , m_timeout(timeout)
{
}

void ClaimWriter::claim(
    const RequestKey &key, std::function<void(ClaimResult, const Base::InstanceId &)> callback)
{
    m_pending.push_back({key, ClaimRow{m_context.self}, m_context.scheduler.now() + m_timeout,
        std::move(callback)});
    if (m_isSending)
        return;
    m_isSending = true;
    m_context.scheduler.schedule(BatchDelay, [this] { send(); });
}

void ClaimWriter::send()
{
    m_isSending = false;
    auto batch = std::make_shared<std::vector<PendingClaim>>(std::move(m_pending));
    m_pending.clear();
    commit(batch);
}

void ClaimWriter::commit(const Batch &batch)
{
    Platform::Transaction transaction;
    for (const auto &pending : *batch) {
        transaction.put(
            pending.key.claimRowKey(), Platform::encodeRow(pending.row), Platform::AbsentVersion);
    }
    m_context.table.commit(std::move(transaction), [this, batch](Platform::CommitReply reply) {
        if (reply.outcome != Platform::CommitOutcome::Committed)
            return readBack(batch);
        for (auto &pending : *batch)
            pending.callback(ClaimResult::Won, m_context.self);
    });
}

void ClaimWriter::readBack(const Batch &batch)
{
    std::vector<std::string> keys;
    for (const auto &pending : *batch)
        keys.push_back(pending.key.claimRowKey());
    m_context.table.readRows(std::move(keys),
        [this, batch](const Platform::RowsReply &reply) { resolveClaims(batch, reply); });
}

void ClaimWriter::resolveClaims(const Batch &batch, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return retryOrFail(batch);
    auto unresolved = std::make_shared<std::vector<PendingClaim>>();
    std::vector<std::function<void()>> callbacks;
    for (std::size_t n = 0; n < batch->size(); ++n) {
        auto &pending = (*batch)[n];
        const auto &row = reply.rows.at(n);
        if (!row) {
            unresolved->push_back(std::move(pending));
            continue;
        }
        const auto claim = Platform::decodeRow<ClaimRow>(row->value);
        const auto result = claim == pending.row ? ClaimResult::Won : ClaimResult::Lost;
        callbacks.push_back([callback = std::move(pending.callback), result, owner = claim.owner] {
            callback(result, owner);
        });
    }
    for (const auto &callback : callbacks)
        callback();
    if (!unresolved->empty())
        retryOrFail(unresolved);
}

void ClaimWriter::retryOrFail(const Batch &batch)
{
    auto remaining = std::make_shared<std::vector<PendingClaim>>();
    for (auto &pending : *batch) {
        if (m_context.scheduler.now() >= pending.deadline) {
            pending.callback(ClaimResult::Unreachable, {});
        } else {
            remaining->push_back(std::move(pending));
        }
    }
    if (!remaining->empty())
        m_context.scheduler.schedule(RetryDelay, [this, remaining] { commit(remaining); });
}

} // namespace Carawaykeel::Requests
