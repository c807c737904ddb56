#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/GrantRegistry.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Carawaykeel::Budget {

/// How an acquisition ended.
enum class AcquireOutcome {
    /// The book has new grants.
    Acquired,
    /// The row has too little available, but grants that are out may hold more.
    RowIsShort,
    /// Row and grants together hold too little.
    BudgetIsShort,
    /// The platform has no such budget.
    NoSuchBudget,
    /// The platform was not reached within the deadline.
    Unreachable,
};

/// A grant that a holder wants.
struct WantedGrant
{
    Base::InstanceId witness;
    /// What the present rate of use asks for.
    Base::Tokens tokens;
    bool isNear = false;
};

/// What a holder wants of a budget.
struct AcquireRequest
{
    Base::BudgetId budget;
    /// The least that helps; the first grant gets it.
    Base::Tokens needed;
    std::vector<WantedGrant> grants;
};

/// Moves tokens from budget rows into grants of this instance. A try whose answer was lost is
/// resolved before another is made for the same budget, under the same grant ids, so that it takes
/// effect once.
class GrantAcquirer
{
public:
    GrantAcquirer(Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &book);

    /// Acquires grants; one call per budget at a time. Answers with what the budget row had
    /// available when it was last read.
    void acquire(
        AcquireRequest request, std::function<void(AcquireOutcome, Base::Tokens available)> answer);

    /// Settles one step of the tries whose answers were lost, for budgets that nobody draws on:
    /// what landed is taken, what has not is kept from landing later.
    void resolve();

    /// True while some try may still take effect.
    bool hasUnresolved() const { return !m_unresolved.empty() || m_open > 0; }

private:
    struct PlannedGrant
    {
        Base::GrantId id;
        GrantRow row;
        bool isNear = false;
        /// The version of the budget's row that the commit expects; once the row has another, the
        /// commit can never take effect. Absent while none was sent.
        std::uint64_t budgetVersion = Platform::AbsentVersion;
    };
    struct Attempt
    {
        AcquireRequest request;
        std::function<void(AcquireOutcome, Base::Tokens)> answer;
        Base::Milliseconds deadline;
        Base::ExponentialBackoff backOff;
        std::vector<PlannedGrant> planned;
        Base::Tokens available;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    void read(const AttemptPointer &attempt);
    void decide(const AttemptPointer &attempt, const Platform::RowsReply &reply);
    bool adoptPlanned(Attempt &attempt, const Platform::RowsReply &reply);
    void plan(Attempt &attempt);
    void commit(const AttemptPointer &attempt, BudgetRow row, std::uint64_t version);
    void take(Attempt &attempt, const PlannedGrant &planned, std::uint64_t version);
    void tryLater(const AttemptPointer &attempt);
    void settleUnresolved(const AttemptPointer &attempt, const Platform::RowsReply &reply);
    static void dropDead(Attempt &attempt, std::uint64_t budgetVersion);
    void finish(const AttemptPointer &attempt, AcquireOutcome outcome);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_book;
    std::uint64_t m_sequence = 0;
    /// Tries that are under way.
    std::size_t m_open = 0;
    /// Grants whose transaction may have taken effect or still may.
    std::map<Base::BudgetId, std::vector<PlannedGrant>> m_unresolved;
};

} // namespace Carawaykeel::Budget
