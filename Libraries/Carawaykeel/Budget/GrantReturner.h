#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/GrantRegistry.h>

#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Budget {

/// Returns the unreserved tokens of a grant to its budget row, and closes a retiring grant without
/// open reservations. The tokens leave the grant in memory before the write is sent, so a lost
/// reply or a paused process can leave tokens unspendable but never spendable twice.
class GrantReturner
{
public:
    GrantReturner(
        Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &registry);

    /// Returns all unreserved tokens except `keep`. Calls `callback` with true once the row shows
    /// the return, and with false if another write of the grant is in progress or the table is
    /// unreachable; the caller may retry later.
    void returnTokens(
        const Base::GrantId &id, Base::Tokens keep, std::function<void(bool)> callback);

private:
    struct Operation
    {
        Base::GrantId id;
        std::function<void(bool)> callback;
        Base::ExponentialBackoff backoff;
        int remainingTries;
        /// The write mark of the last commit that was sent; empty before the first.
        std::string writeMark;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    void read(const OperationPointer &operation);
    void decide(const OperationPointer &operation, const Platform::RowsReply &reply);
    void commit(const OperationPointer &operation, HeldGrant &grant, const Platform::Row &budget);
    void clearReturning(HeldGrant &grant);
    void retryLater(const OperationPointer &operation);
    void finish(const OperationPointer &operation, bool isReturned);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_grants;
    std::uint64_t m_lastMark = 0;
};

} // namespace Carawaykeel::Budget
