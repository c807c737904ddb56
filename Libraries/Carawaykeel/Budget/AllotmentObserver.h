#pragma once

#include <Carawaykeel/Budget/Allotment.h>
#include <Carawaykeel/Platform/Transaction.h>

namespace Carawaykeel::Budget {

/// Is told what becomes of an instance's allotments.
class AllotmentObserver
{
public:
    virtual ~AllotmentObserver() = default;

    /// The table answers again after it did not, or the other way round.
    virtual void onTableReachabilityChanged(bool isReached) = 0;

    /// An allotment of an earlier life is closed; so much of it counts as spent.
    virtual void onAllotmentClosed(
        const Base::TeamId &team, const Allotment &allotment, Base::Tokens counted) = 0;

    /// A report was not committed.
    virtual void onReportFailed(
        Platform::CommitOutcome outcome, int triesLeft, Base::Milliseconds passed) = 0;

    /// This life has spent more than the table sets aside for it: others may hold these tokens too.
    virtual void onOverdrawn(const Base::TeamId &team, Base::Tokens spent, Base::Tokens whole,
        std::uint64_t version) = 0;
};

} // namespace Carawaykeel::Budget
