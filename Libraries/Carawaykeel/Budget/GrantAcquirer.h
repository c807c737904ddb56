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

/// The outcome of an acquisition.
enum class AcquireOutcome {
    /// New grants are in the registry.
    Acquired,
    /// The row has too few tokens available, but open grants may hold more.
    InsufficientAvailable,
    /// Row and open grants together hold too few tokens.
    InsufficientTotal,
    /// The table has no such budget.
    NoSuchBudget,
    /// The table was unreachable until the deadline.
    Unreachable,
};

struct RequestedGrant
{
    Base::InstanceId witness;
    /// The size that the current usage rate calls for.
    Base::Tokens tokens;
    bool hasLocalWitness = false;
};

/// The grants to acquire from one budget.
struct AcquireRequest
{
    Base::BudgetId budget;
    /// The minimum to acquire, all of it in the first grant.
    Base::Tokens needed;
    std::vector<RequestedGrant> grants;
};

/// Moves tokens from budget rows into grants of this instance. After a commit without a reply, the
/// next acquisition for the same budget first resolves it and then reuses its grant ids, so that it
/// takes effect at most once.
class GrantAcquirer
{
public:
    GrantAcquirer(
        Base::InstanceContext &context, const BudgetPolicy &policy, GrantRegistry &registry);

    /// Acquires grants. At most one acquisition per budget may be in progress. Calls `callback`
    /// with the tokens that the budget row had available when last read.
    void acquire(AcquireRequest request,
        std::function<void(AcquireOutcome, Base::Tokens available)> callback);

    /// Resolves the pending commits of one budget: adopts the grants that were committed, and
    /// prevents a commit that has not taken effect from doing so later. Does nothing while an
    /// acquisition is in progress.
    void resolve();

    /// Returns true while a commit may still take effect.
    bool hasUnresolved() const { return !m_unresolved.empty() || m_inProgress > 0; }

private:
    struct PlannedGrant
    {
        Base::GrantId id;
        GrantRow row;
        bool hasLocalWitness = false;
        /// The version of the budget row that the commit expects; once the row has another one, the
        /// commit can never take effect. AbsentVersion until a commit was sent.
        std::uint64_t budgetVersion = Platform::AbsentVersion;
    };
    struct Acquisition
    {
        AcquireRequest request;
        std::function<void(AcquireOutcome, Base::Tokens)> callback;
        Base::Milliseconds deadline;
        Base::ExponentialBackoff backoff;
        std::vector<PlannedGrant> planned;
        Base::Tokens available;
    };
    using AcquisitionPointer = std::shared_ptr<Acquisition>;

    void read(const AcquisitionPointer &acquisition);
    void decide(const AcquisitionPointer &acquisition, const Platform::RowsReply &reply);
    bool adoptCommitted(Acquisition &acquisition, const Platform::RowsReply &reply);
    void plan(Acquisition &acquisition);
    void commit(const AcquisitionPointer &acquisition, BudgetRow row, std::uint64_t version);
    void addGrant(Acquisition &acquisition, const PlannedGrant &planned, std::uint64_t version);
    void retryLater(const AcquisitionPointer &acquisition);
    void resolveUnresolved(const AcquisitionPointer &acquisition, const Platform::RowsReply &reply);
    static void dropExpiredPlans(Acquisition &acquisition, std::uint64_t budgetVersion);
    void finish(const AcquisitionPointer &acquisition, AcquireOutcome outcome);

    Base::InstanceContext &m_context;
    const BudgetPolicy &m_policy;
    GrantRegistry &m_grants;
    std::uint64_t m_sequence = 0;
    /// Number of acquisitions in progress.
    std::size_t m_inProgress = 0;
    /// Grants of commits without a reply, which may have taken effect or may still do so.
    std::map<Base::BudgetId, std::vector<PlannedGrant>> m_unresolved;
};

} // namespace Carawaykeel::Budget
