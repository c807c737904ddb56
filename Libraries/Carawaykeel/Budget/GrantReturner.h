#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/GrantRegistry.h>

#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Budget {

/// Gives a grant's unreserved tokens back to its budget row, and closes a retiring grant that has
/// nothing open. The tokens leave the grant in memory before the write is sent, so a lost answer or
/// a pause can only keep them from being spent.
class GrantReturner
{
public:
    GrantReturner(Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book);

    /// Returns all but the tokens to keep. Answers true when the row shows the return, false when
    /// another write of the grant is under way or the platform was not reached; call again later.
    void returnTokens(const Base::GrantId &id, Base::Tokens keep, std::function<void(bool)> answer);

private:
    struct Operation
    {
        Base::GrantId id;
        std::function<void(bool)> answer;
        Base::ExponentialBackoff backOff;
        int triesLeft;
        /// The mark of the last commit that was sent; empty before the first.
        std::string mark;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    void read(const OperationPointer &operation);
    void decide(const OperationPointer &operation, const Platform::RowsReply &reply);
    void commit(const OperationPointer &operation, HeldGrant &grant, const Platform::Row &budget);
    void settleReturn(HeldGrant &grant);
    void tryLater(const OperationPointer &operation);
    void finish(const OperationPointer &operation, bool isDone);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_book;
    std::uint64_t m_marks = 0;
};

} // namespace Carawaykeel::Budget
