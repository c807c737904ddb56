#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/GrantRegistry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Budget {

/// Writes settled reservations to the table in batches. One transaction inserts the bills that are
/// absent and updates the settled sum of each grant.
class BillFlusher
{
public:
    BillFlusher(
        Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &registry);

    /// Flushes settled reservations, at most one batch. Calls `callback` with true if nothing is
    /// left to write. Only one flush runs at a time: a call during a flush reports
    /// false at once.
    void flush(std::function<void(bool)> callback);

private:
    struct Entry
    {
        Base::GrantId grant;
        std::uint64_t reservation = 0;
        Billing::Bill bill;
        /// Set if the table already has a bill of another run under the same key.
        bool isUncharged = false;
        /// Set if the table already has this bill.
        bool isWritten = false;
    };
    struct Batch
    {
        std::vector<Entry> entries;
        std::vector<Base::GrantId> grants;
        std::function<void(bool)> callback;
        Base::ExponentialBackoff backoff;
        bool isPartial = false;
    };
    using BatchPointer = std::shared_ptr<Batch>;

    BatchPointer collect(std::function<void(bool)> callback);
    void commit(const BatchPointer &batch);
    void reconcile(const BatchPointer &batch);
    void adoptGrants(Batch &batch, const Platform::RowsReply &reply);
    void adoptBills(Batch &batch, const Platform::RowsReply &reply);
    void confirm(Batch &batch, std::uint64_t version);
    void confirmEntry(const Entry &entry);
    void finish(const BatchPointer &batch, bool isDone);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_grants;
    bool m_isFlushing = false;
};

} // namespace Carawaykeel::Budget
