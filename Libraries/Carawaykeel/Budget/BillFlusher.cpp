#include <Carawaykeel/Budget/BillFlusher.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

BillFlusher::BillFlusher(
    Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book)
    : m_context(context)
    , m_policy(policy)
    , m_book(book)
{
}

void BillFlusher::flush(std::function<void(bool)> answer)
{
    if (m_isFlushing)
        return answer(false);
    auto batch = collect(std::move(answer));
    if (batch->entries.empty())
        return batch->answer(!batch->isPartial);
    m_isFlushing = true;
    commit(batch);
}

BillFlusher::BatchPointer BillFlusher::collect(std::function<void(bool)> answer)
{
    auto batch = std::make_shared<Batch>(Batch{{}, {}, std::move(answer),
        Base::ExponentialBackoff(m_policy.smallestBackOff, m_policy.largestBackOff), false});
    for (auto *grant : m_book.all()) {
        if (grant->isWriting) {
            batch->isPartial = true;
            continue;
        }
        const auto before = batch->entries.size();
        for (auto &[number, held] : grant->reservations) {
            if (held.phase != ReservationPhase::Settled || !held.bill)
                continue;
            if (batch->entries.size() >= m_policy.maxFlushBatch) {
                batch->isPartial = true;
                break;
            }
            batch->entries.push_back({grant->id, number, *held.bill});
        }
        if (batch->entries.size() == before)
            continue;
        grant->isWriting = true;
        batch->grants.push_back(grant->id);
    }
    return batch;
}

void BillFlusher::commit(const BatchPointer &batch)
{
    Platform::Transaction transaction;
    for (const auto &id : batch->grants) {
        const auto *grant = m_book.find(id);
        if (!grant)
            continue;
        auto row = grant->row;
        bool hasNews = false;
        for (const auto &entry : batch->entries) {
            if (entry.grant != id || entry.isWritten)
                continue;
            hasNews = true;
            if (entry.isBorneByHouse) {
                transaction.put(entry.bill.unchargedRowKey(), Platform::encodeRow(entry.bill),
                    Platform::AbsentVersion);
                continue;
            }
            row.settled += entry.bill.tokens;
            transaction.put(
                entry.bill.rowKey(), Platform::encodeRow(entry.bill), Platform::AbsentVersion);
        }
        if (hasNews)
            transaction.put(id.text(), Platform::encodeRow(row), grant->version);
    }
    if (transaction.writes.empty())
        return finish(batch, true);
    m_context.table.commit(std::move(transaction), [this, batch](Platform::CommitReply reply) {
        if (reply.outcome != Platform::CommitOutcome::Committed) {
            return m_context.scheduler.schedule(
                batch->backOff.nextDelay(m_context.random), [this, batch] { reconcile(batch); });
        }
        confirm(*batch, reply.version);
        finish(batch, true);
    });
}

void BillFlusher::reconcile(const BatchPointer &batch)
{
    std::vector<std::string> keys;
    for (const auto &id : batch->grants)
        keys.push_back(id.text());
    for (const auto &entry : batch->entries) {
        keys.push_back(entry.bill.rowKey());
        keys.push_back(entry.bill.unchargedRowKey());
    }
    m_context.table.readRows(std::move(keys), [this, batch](const Platform::RowsReply &reply) {
        if (!reply.isReachable) {
            return m_context.scheduler.schedule(
                batch->backOff.nextDelay(m_context.random), [this, batch] { reconcile(batch); });
        }
        adoptBills(*batch, reply);
        adoptGrants(*batch, reply);
        commit(batch);
    });
}

void BillFlusher::adoptGrants(Batch &batch, const Platform::RowsReply &reply)
{
    for (std::size_t n = 0; n < batch.grants.size(); ++n) {
        auto *grant = m_book.find(batch.grants[n]);
        if (!grant)
            continue;
        const auto &row = reply.rows.at(n);
        if (!row) {
            m_book.remove(batch.grants[n]);
            continue;
        }
        GrantRegistry::adoptRow(*grant, Platform::decodeRow<GrantRow>(row->value), row->version);
    }
}

void BillFlusher::adoptBills(Batch &batch, const Platform::RowsReply &reply)
{
    auto n = batch.grants.size();
    for (auto &entry : batch.entries) {
        const auto &bill = reply.rows.at(n++);
        const auto &house = reply.rows.at(n++);
        if (entry.isWritten)
            continue;
        const bool isOurs =
            bill && Platform::decodeRow<Billing::Bill>(bill->value).isSameRun(entry.bill);
        if (isOurs || house) {
            entry.isWritten = true;
            confirmEntry(entry);
            continue;
        }
        entry.isBorneByHouse = bill.has_value();
    }
}

void BillFlusher::confirm(Batch &batch, std::uint64_t version)
{
    for (const auto &id : batch.grants) {
        auto *grant = m_book.find(id);
        if (!grant)
            continue;
        bool hasNews = false;
        for (auto &entry : batch.entries) {
            if (entry.grant != id || entry.isWritten)
                continue;
            hasNews = true;
            if (!entry.isBorneByHouse)
                grant->row.settled += entry.bill.tokens;
        }
        if (hasNews)
            grant->version = version;
    }
    for (const auto &entry : batch.entries) {
        if (!entry.isWritten)
            confirmEntry(entry);
    }
}

void BillFlusher::confirmEntry(const Entry &entry)
{
    auto *grant = m_book.find(entry.grant);
    if (!grant)
        return;
    const auto it = grant->reservations.find(entry.reservation);
    if (it == grant->reservations.end())
        return;
    auto callbacks = std::move(it->second.durableCallbacks);
    grant->unflushed -= entry.bill.tokens;
    grant->reservations.erase(it);
    for (auto &callback : callbacks)
        callback(true);
}

void BillFlusher::finish(const BatchPointer &batch, bool isDone)
{
    m_isFlushing = false;
    std::vector<std::uint64_t> numbers;
    for (const auto &id : batch->grants) {
        numbers.clear();
        for (const auto &entry : batch->entries) {
            if (entry.grant == id)
                numbers.push_back(entry.reservation);
        }
        auto *grant = m_book.find(id);
        if (!grant)
            continue;
        grant->isWriting = false;
        m_context.peers.send(grant->row.witness, Peer::ForgetReservations{id, numbers});
    }
    batch->answer(isDone && !batch->isPartial);
}

} // namespace Carawaykeel::Budget
