#pragma once

#include <Carawaykeel/Budget/Allotment.h>
#include <Carawaykeel/Platform/Transaction.h>

namespace Carawaykeel::Budget {

/// Receives events about an instance's allotments.
class AllotmentObserver
{
public:
    virtual ~AllotmentObserver() = default;

    /// Called when the table becomes reachable or unreachable.
    virtual void onTableReachabilityChanged(bool isReachable) = 0;

    /// Called when an allotment of an earlier incarnation was closed and `countedAsSpent` tokens of
    /// it were counted as spent.
    virtual void onAllotmentClosed(
        const Base::TeamId &team, const Allotment &allotment, Base::Tokens countedAsSpent) = 0;

    /// Called when a report was not committed.
    virtual void onReportFailed(
        Platform::CommitOutcome outcome, int remainingTries, Base::Milliseconds elapsed) = 0;

    /// Called when this incarnation has spent more than its allotment in the table: other instances
    /// may hold the same tokens.
    virtual void onOverdrawn(const Base::TeamId &team, Base::Tokens spent, Base::Tokens total,
        std::uint64_t version) = 0;
};

} // namespace Carawaykeel::Budget
