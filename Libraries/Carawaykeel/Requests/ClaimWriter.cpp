#include <Carawaykeel/Requests/ClaimWriter.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <utility>

namespace Carawaykeel::Requests {

namespace {

/// Claims that come within this time share a transaction.
constexpr Base::Milliseconds GroupTime{3};
constexpr Base::Milliseconds RetryPause{30};

} // namespace

ClaimWriter::ClaimWriter(Base::InstanceContext &context, Base::Milliseconds deadline)
    : m_context(context)
    , m_deadline(deadline)
{
}

void ClaimWriter::claim(
    const RequestKey &key, std::function<void(ClaimResult, const Base::InstanceId &)> answer)
{
    m_pending.push_back(
        {key, ClaimRow{m_context.self}, m_context.scheduler.now() + m_deadline, std::move(answer)});
    if (m_isSending)
        return;
    m_isSending = true;
    m_context.scheduler.schedule(GroupTime, [this] { send(); });
}

void ClaimWriter::send()
{
    m_isSending = false;
    auto batch = std::make_shared<std::vector<Pending>>(std::move(m_pending));
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
            pending.answer(ClaimResult::Won, m_context.self);
    });
}

void ClaimWriter::readBack(const Batch &batch)
{
    std::vector<std::string> keys;
    for (const auto &pending : *batch)
        keys.push_back(pending.key.claimRowKey());
    m_context.table.readRows(
        std::move(keys), [this, batch](const Platform::RowsReply &reply) { decide(batch, reply); });
}

void ClaimWriter::decide(const Batch &batch, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return retryOrFail(batch);
    auto open = std::make_shared<std::vector<Pending>>();
    std::vector<std::function<void()>> answers;
    for (std::size_t n = 0; n < batch->size(); ++n) {
        auto &pending = (*batch)[n];
        const auto &row = reply.rows.at(n);
        if (!row) {
            open->push_back(std::move(pending));
            continue;
        }
        const auto claim = Platform::decodeRow<ClaimRow>(row->value);
        const auto result = claim == pending.row ? ClaimResult::Won : ClaimResult::Lost;
        answers.push_back([answer = std::move(pending.answer), result, owner = claim.owner] {
            answer(result, owner);
        });
    }
    for (const auto &answer : answers)
        answer();
    if (!open->empty())
        retryOrFail(open);
}

void ClaimWriter::retryOrFail(const Batch &batch)
{
    auto left = std::make_shared<std::vector<Pending>>();
    for (auto &pending : *batch) {
        if (m_context.scheduler.now() >= pending.deadline) {
            pending.answer(ClaimResult::Unreachable, {});
        } else {
            left->push_back(std::move(pending));
        }
    }
    if (!left->empty())
        m_context.scheduler.schedule(RetryPause, [this, left] { commit(left); });
}

} // namespace Carawaykeel::Requests
