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

/// Tokens to be added to a budget once under their id.
struct TopUpOrder
{
    Base::TopUpId id;
    Base::Tokens tokens;
};

/// A top-up that was counted, a row of its own in the platform's table.
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

/// Counts top-ups, each once, however often and at however many instances it is said. Declared ones
/// are counted when their budget is first drawn on.
class TopUpWriter
{
public:
    TopUpWriter(Base::InstanceContext &context, const BudgetPolicy &policy);

    /// What the configuration in force declares for a budget.
    void setDeclared(const Base::BudgetId &budget, std::vector<TopUpOrder> orders);

    /// Makes sure that the declared top-ups of the budget are counted. Answers false when the
    /// platform was not reached; true at once when there is nothing to do.
    void ensureDeclared(const Base::BudgetId &budget, std::function<void(bool)> answer);

    /// Counts an operator's top-up. Fails with PlatformUnreachable, when the same id may be tried
    /// again, or with VersionConflict, when the id was counted with another amount.
    void topUp(const Base::BudgetId &budget, const TopUpOrder &order,
        std::function<void(Base::Outcome<BudgetRow>)> answer);

private:
    struct Operation
    {
        Base::BudgetId budget;
        std::vector<TopUpOrder> orders;
        std::function<void(Base::Outcome<BudgetRow>)> answer;
        Base::ExponentialBackoff backOff;
        Base::Milliseconds deadline;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    void write(const Base::BudgetId &budget, std::vector<TopUpOrder> orders,
        std::function<void(Base::Outcome<BudgetRow>)> answer);
    void read(const OperationPointer &operation);
    void decide(const OperationPointer &operation, const Platform::RowsReply &reply);
    void tryLater(const OperationPointer &operation);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    std::map<Base::BudgetId, std::vector<TopUpOrder>> m_declared;
    std::map<Base::BudgetId, std::set<Base::TopUpId>> m_counted;
};

} // namespace Carawaykeel::Budget
