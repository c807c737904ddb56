#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Budget {

/// Parameters of the allotments.
struct AllotmentPolicy
{
    /// An allotment grows for at most this long after growth begins. Outages of the table service
    /// last 9 s and more.
    Base::Milliseconds horizon{12'000};
    /// An allotment grows at this multiple of the recent usage rate. Smaller factors lose fewer
    /// tokens when all processes end at once, but refuse more requests of a team whose use jumps in
    /// an outage: with 2.5 and 0.7 s immediate, a team at 2.7 times its usual load had over 5 in
    /// 100 refused.
    double growthFactor = 2.8;
    /// An allotment of a team with little use has the available tokens divided by this at once,
    /// and grows by as much within the horizon.
    std::int64_t floorDivisor = 2'000;
    /// Interval of the reports to the table.
    Base::Milliseconds reportInterval{500};
    /// Growth begins this long after a report. While reports are on time nothing grows, so the
    /// death of an instance costs only the immediate tokens. These cover the delay.
    Base::Milliseconds growthDelay{1'000};
    /// Spendable at once after a report: the use of this time at the recent rate, and what waiting
    /// requests need.
    Base::Milliseconds immediateTime{1'000};
    /// Instances that hold allotments of a team at the same time, in a fleet that is not small; the
    /// others borrow from them. More holders would cause conflicts between their reports.
    std::size_t holdersPerTeam = 3;
    /// Up to this fleet size all instances hold allotments of all teams.
    std::size_t smallFleetSize = 8;
    /// An instance takes at most the unallotted tokens divided by this, unless waiting requests
    /// need more. The remaining pool serves instances that run short; a larger share would lie
    /// unused at the wrong instance.
    std::int64_t shareDivisor = 4;
    /// The same divisor in a large fleet, where only the holders take from the pool and can
    /// therefore take a larger share.
    std::int64_t holderShareDivisor = 2;
    /// Weight of the latest report interval in the moving average of the usage rate. A
    /// greater weight makes the rate depend on a few large requests.
    double rateWeight = 0.05;
    /// While the table is unreachable, a request waits for so long if growth will cover it by then.
    /// Without the wait, every burst would have to be covered by growth, which a death loses.
    Base::Milliseconds maxGrowthWait{3'000};
    /// For this long after the table was unreachable, requests do not wait for a report.
    Base::Milliseconds unreachableRetryDelay{700};
    /// Delay before a returning report without a reply is repeated.
    Base::Milliseconds returnRetryDelay{200};
    /// Tries of one report when it conflicts with the writes of other instances.
    int maxConflictTries = 10;
    /// Maximum retry delay of a report after a conflict.
    Base::Milliseconds maxConflictRetryDelay{15};
};

} // namespace Carawaykeel::Budget
