#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/GrantRegistry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Budget {

/// Writes settled reservations to the platform in batches: the bills, if absent, and the settled
/// sum of each grant, in one transaction.
class BillFlusher
{
public:
    BillFlusher(Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book);

    /// Flushes all that is settled, at most one batch. Answers true when nothing was left to write.
    /// Only one flush is under way at a time; a call meanwhile answers false at once.
    void flush(std::function<void(bool)> answer);

private:
    struct Entry
    {
        Base::GrantId grant;
        std::uint64_t reservation = 0;
        Billing::Bill bill;
        /// Set when the platform already has another run's bill under the same key.
        bool isBorneByHouse = false;
        /// Set when the platform already has this very bill.
        bool isWritten = false;
    };
    struct Batch
    {
        std::vector<Entry> entries;
        std::vector<Base::GrantId> grants;
        std::function<void(bool)> answer;
        Base::ExponentialBackoff backOff;
        bool isPartial = false;
    };
    using BatchPointer = std::shared_ptr<Batch>;

    BatchPointer collect(std::function<void(bool)> answer);
    void commit(const BatchPointer &batch);
    void reconcile(const BatchPointer &batch);
    void adoptGrants(Batch &batch, const Platform::RowsReply &reply);
    void adoptBills(Batch &batch, const Platform::RowsReply &reply);
    void confirm(Batch &batch, std::uint64_t version);
    void confirmEntry(const Entry &entry);
    void finish(const BatchPointer &batch, bool isDone);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_book;
    bool m_isFlushing = false;
};

} // namespace Carawaykeel::Budget
