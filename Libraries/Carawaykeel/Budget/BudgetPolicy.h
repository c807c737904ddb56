#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Budget {

/// The dials of the budget's holder and witness.
struct BudgetPolicy
{
    /// How long a holder waits for the witness's answer before it asks again.
    Base::Milliseconds witnessTimeout{60};
    /// How often the witness is asked before the grant's witness counts as lost.
    int witnessTries = 3;
    /// A grant is sized for this much use at the present rate: an outage of an hour and some more.
    Base::Milliseconds horizon{5'400'000};
    /// A grant takes at most one part in this many of what the budget row has available.
    std::int64_t shareDivisor = 8;
    /// The least that is worth a transaction while the budget is far from empty.
    Base::Tokens smallestGrant{2'000};
    /// Time between flushes of bills to the platform.
    Base::Milliseconds flushInterval{1'000};
    /// Bills in one transaction at most.
    std::size_t maxFlushBatch = 200;
    /// How long a request waits for a grant before it is refused.
    Base::Milliseconds grantDeadline{1'500};
    /// How long an answer to a recall is waited for.
    Base::Milliseconds recallTimeout{250};
    /// Rounds of recall before a request is refused for its budget.
    int recallRounds = 3;
    /// First pause before a platform operation is tried again; it doubles up to the largest.
    Base::Milliseconds smallestBackOff{20};
    Base::Milliseconds largestBackOff{2'000};
    /// Grants of one budget that are taken ahead of need at most.
    std::size_t maxPrefetchedGrants = 8;
    /// Time between two acquisitions ahead of need for one budget.
    Base::Milliseconds prefetchInterval{10'000};
    /// How long a grant whose witness does not answer is kept before its tokens are returned.
    Base::Milliseconds suspensionTimeout{5'000};
    /// Pause before a silent witness is asked again.
    Base::Milliseconds witnessRetryDelay{1'000};
    /// How long unused excess over the horizon is kept before it is returned.
    Base::Milliseconds idleReturn{900'000};
    /// How long an open reservation of a holder that is not certainly dead is kept before the
    /// witness bills it.
    Base::Milliseconds reservationExpiry{600'000};
    /// How long to wait before orphaned grants are looked for again.
    Base::Milliseconds reclaimInterval{2'000};
    /// Time between two looks of the whole fleet through all grants, for lives that nobody knew.
    Base::Milliseconds sweepInterval{10'000};
};

} // namespace Carawaykeel::Budget
