#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Budget {

/// The dials of the allotments.
struct AllotmentPolicy
{
    /// An allotment is free as a whole this long after the report, at the latest...
    Base::Milliseconds horizon{12'000};
    /// ...and sooner where it is used fast: it grows this many times as fast as the present use...
    double growthFactor = 1.8;
    /// ...but in no less than this.
    Base::Milliseconds minGrowthTime{4'000};
    /// Time between two reports to the table.
    Base::Milliseconds reportInterval{500};
    /// Growth begins this long after a report: while reports come on time nothing grows, so a death
    /// then costs only what was free at once.
    Base::Milliseconds growthDelay{800};
    /// Free at once are one part in this many and what this long takes at the present use.
    std::int64_t immediateDivisor = 8;
    Base::Milliseconds immediateTime{1'000};
    /// Instances that hold allotments of a team at a time, in a fleet that is not small; the others
    /// borrow from them. More would cross each other's reports.
    std::size_t holdersPerTeam = 3;
    /// In a fleet of so many instances all hold allotments of all teams.
    std::size_t smallFleetSize = 8;
    /// An instance takes one part in this many of what no other has. The rest of the pool serves
    /// the instance that runs short; a greater part would lie with the wrong one.
    std::int64_t shareDivisor = 4;
    /// In a large fleet only the holders take from the pool, so they leave less of it.
    std::int64_t holderShareDivisor = 2;
    /// Weight of the latest interval in the rate of use.
    double rateWeight = 0.25;
    /// A table that was not reached is not waited for again within this time.
    Base::Milliseconds unreachableRetryDelay{700};
    /// Tries of one report when other instances write the same rows.
    int conflictTries = 10;
    /// Longest pause before a report is tried again that another instance's crossed.
    Base::Milliseconds conflictPause{15};
};

} // namespace Carawaykeel::Budget
