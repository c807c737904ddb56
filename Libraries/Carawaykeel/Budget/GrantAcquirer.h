#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/GrantBook.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Carawaykeel::Budget {

/// The outcome of an acquisition.
enum class AcquireOutcome {
    /// New grants are in the registry.
    Acquired,
    /// The row has too few tokens available, but open grants may hold more.
    RowIsShort,
    /// Row and open grants together hold too few tokens.
    BudgetIsShort,
    /// The table has no such budget.
    NoSuchBudget,
    /// The table was unreachable until the deadline.
    Unreachable,
};

struct WantedGrant
{
    Base::InstanceId witness;
    /// The size that the current usage rate calls for.
    Base::Tokens tokens;
    bool isNear = false;
};

/// The grants to acquire from one budget.
struct AcquireRequest
{
    Base::BudgetId budget;
    /// The minimum to acquire, all of it in the first grant.
    Base::Tokens needed;
    std::vector<WantedGrant> grants;
};

/// Moves tokens from budget rows into grants of this instance. After a commit without a reply, the
/// next acquisition for the same budget first resolves it and then reuses its grant ids, so that it
/// takes effect at most once.
class GrantAcquirer
{
public:
    GrantAcquirer(Base::InstanceContext &context, const BudgetPolicy &policy, GrantBook &book);

    /// Acquires grants; one call per budget at a time. Calls `callback` with the tokens that the
    /// budget row had available when last read.
    void acquire(
        AcquireRequest request, std::function<void(AcquireOutcome, Base::Tokens available)> answer);

    /// Resolves one pending commit of a budget without an acquisition in progress: adopts the
    /// grants that were committed, and prevents a commit that has not taken effect from doing so
    /// later.
    void resolve();

    /// Returns true while a commit may still take effect.
    bool hasUnresolved() const { return !m_unresolved.empty() || m_open > 0; }

private:
    struct PlannedGrant
    {
        Base::GrantId id;
        GrantRow row;
        bool isNear = false;
        /// The version of the budget row that the commit expects; once the row has another one, the
        /// commit can never take effect. AbsentVersion until a commit was sent.
        std::uint64_t budgetVersion = Platform::AbsentVersion;
    };
    struct Attempt
    {
        AcquireRequest request;
        std::function<void(AcquireOutcome, Base::Tokens)> answer;
        Base::Milliseconds deadline;
        Base::BackOff backOff;
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
    GrantBook &m_book;
    std::uint64_t m_sequence = 0;
    /// Number of acquisitions in progress.
    std::size_t m_open = 0;
    /// Grants whose commit is pending without a reply.
    std::map<Base::BudgetId, std::vector<PlannedGrant>> m_unresolved;
};

} // namespace Carawaykeel::Budget
