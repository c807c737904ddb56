#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Carawaykeel::Budget {

/// Tokens to add to a budget exactly once, identified by an id.
struct TopUpOrder
{
    Base::TopUpId id;
    Base::Tokens tokens;
};

/// The row in the table of a top-up that was counted.
struct TopUpRow
{
    Base::Tokens tokens;

    static std::string rowKey(const Base::BudgetId &budget, const Base::TopUpId &id)
    {
        return "topup/" + budget.text() + "/" + id.text();
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(tokens);
    }
};

/// Counts each top-up exactly once, even if it is submitted several times or at several instances.
/// Declared top-ups are counted when their budget is first used.
class TopUpWriter
{
public:
    TopUpWriter(Base::InstanceContext &context, const BudgetPolicy &policy);

    /// Sets the top-ups that the configuration in force declares for a budget.
    void setDeclared(const Base::BudgetId &budget, std::vector<TopUpOrder> orders);

    /// Ensures that the declared top-ups of the budget are counted. Calls `callback` with false if
    /// the table was unreachable, and with true at once if there is nothing to count.
    void ensureDeclaredCounted(const Base::BudgetId &budget, std::function<void(bool)> callback);

    /// Counts an operator's top-up. Fails with PlatformUnreachable, in which case the same id can
    /// be retried, or with VersionConflict if the id was counted with another amount.
    void topUp(const Base::BudgetId &budget, const TopUpOrder &order,
        std::function<void(Base::Outcome<BudgetRow>)> callback);

private:
    struct Operation
    {
        Base::BudgetId budget;
        std::vector<TopUpOrder> orders;
        std::function<void(Base::Outcome<BudgetRow>)> callback;
        Base::ExponentialBackoff backoff;
        Base::Milliseconds deadline;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    void write(const Base::BudgetId &budget, std::vector<TopUpOrder> orders,
        Base::Milliseconds timeout, std::function<void(Base::Outcome<BudgetRow>)> callback);
    void read(const OperationPointer &operation);
    void decide(const OperationPointer &operation, const Platform::RowsReply &reply);
    void retryLater(const OperationPointer &operation);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    std::map<Base::BudgetId, std::vector<TopUpOrder>> m_declared;
    std::map<Base::BudgetId, std::set<Base::TopUpId>> m_counted;
};

} // namespace Carawaykeel::Budget
