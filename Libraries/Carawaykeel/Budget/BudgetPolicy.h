#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Budget {

/// Parameters of grant holders and witnesses.
struct BudgetPolicy
{
    /// Timeout for the witness's reply before the message is sent again.
    Base::Milliseconds witnessTimeout{60};
    /// Times that a message is sent before the witness is considered lost.
    int maxWitnessTries = 3;
    /// A grant is sized for the use of this time at the current rate: an outage of an hour with
    /// some margin.
    Base::Milliseconds horizon{5'400'000};
    /// A grant takes at most the available tokens of the budget row divided by this.
    std::int64_t shareDivisor = 8;
    /// Minimum size of a grant that justifies a transaction while the budget is far from empty.
    Base::Tokens minGrantSize{2'000};
    /// Interval of the bill flushes.
    Base::Milliseconds flushInterval{1'000};
    /// Maximum number of bills in one transaction.
    std::size_t maxFlushBatch = 200;
    /// Timeout for acquiring a grant; the request is refused after it.
    Base::Milliseconds grantTimeout{1'500};
    /// Timeout for an operator's top-up. Longer than the table's circuit breaker takes to notice
    /// that the table is reachable again: one probe that times out and the delay until the next.
    Base::Milliseconds topUpTimeout{5'000};
    /// Timeout for the replies to a recall.
    Base::Milliseconds recallTimeout{250};
    /// Rounds of recall before a request is refused because its budget is exhausted.
    int maxRecallRounds = 3;
    /// First retry delay of a table operation; it doubles up to the maximum.
    Base::Milliseconds minBackoff{20};
    Base::Milliseconds maxBackoff{2'000};
    /// Grants are prefetched only while the instance holds fewer grants of the budget than this.
    std::size_t maxPrefetchedGrants = 8;
    /// Minimum interval between two prefetches for one budget.
    Base::Milliseconds prefetchInterval{10'000};
    /// How long a grant whose witness is unresponsive is kept before its tokens are returned.
    Base::Milliseconds suspensionTimeout{5'000};
    /// Delay before an unresponsive witness is used again.
    Base::Milliseconds witnessRetryDelay{1'000};
    /// How long a grant of an unused budget is kept before it is returned.
    Base::Milliseconds idleReturn{900'000};
    /// How long an open reservation is kept before the witness bills it, if its holder is not
    /// confirmed dead.
    Base::Milliseconds reservationExpiry{600'000};
    /// Interval of the searches for orphaned grants.
    Base::Milliseconds reclaimInterval{2'000};
    /// Interval, over the whole fleet, between two scans of all grants for incarnations that no
    /// instance knew.
    Base::Milliseconds sweepInterval{10'000};
};

} // namespace Carawaykeel::Budget
