#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Budget {

/// Parameters of the allotments.
struct AllotmentPolicy
{
    /// Maximum growth time: the whole allotment is spendable this long after growth begins.
    Base::Milliseconds horizon{12'000};
    /// An allotment that is used fast grows faster, at this multiple of the current usage rate.
    double growthFactor = 1.8;
    /// Minimum growth time.
    Base::Milliseconds minGrowthTime{4'000};
    /// Interval of the reports to the table.
    Base::Milliseconds reportInterval{500};
    /// Growth begins this long after a report. While reports are on time nothing grows, so the
    /// death of an instance costs only the immediate tokens.
    Base::Milliseconds growthDelay{800};
    /// The immediate tokens are the allotment divided by this, plus the use of `immediateTime` at
    /// the current rate.
    std::int64_t immediateDivisor = 8;
    Base::Milliseconds immediateTime{1'000};
    /// Instances that hold allotments of a team at the same time, in a fleet that is not small; the
    /// others borrow from them. More holders would cause conflicts between their reports.
    std::size_t holdersPerTeam = 3;
    /// Up to this fleet size all instances hold allotments of all teams.
    std::size_t smallFleetSize = 8;
    /// An instance takes the unallotted tokens divided by this. The remaining pool serves instances
    /// that run short; a larger share would lie unused at the wrong instance.
    std::int64_t shareDivisor = 4;
    /// The same divisor in a large fleet, where only the holders take from the pool and can
    /// therefore take a larger share.
    std::int64_t holderShareDivisor = 2;
    /// Weight of the latest interval in the moving average of the usage rate.
    double rateWeight = 0.25;
    /// For this long after the table was unreachable, requests do not wait for a report.
    Base::Milliseconds unreachableRetryDelay{700};
    /// Tries of one report when it conflicts with the writes of other instances.
    int maxConflictTries = 10;
    /// Maximum retry delay of a report after a conflict.
    Base::Milliseconds maxConflictRetryDelay{15};
};

} // namespace Carawaykeel::Budget
