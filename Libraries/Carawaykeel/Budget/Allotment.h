#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <span>
#include <vector>

namespace Carawaykeel::Budget {

/// The tokens of a team that one incarnation of an instance may spend, as of its last report to the
/// table. The spend limit grows with the table service's clock. When the holder is dead, the clock
/// alone bounds how much it can have spent, and the bound is tight while reports are recent.
struct Allotment
{
    Base::InstanceId holder;
    /// Spent or held at the time of the report.
    Base::Tokens spent;
    /// Spendable immediately after the report.
    Base::Tokens immediate;
    /// Becomes spendable at a constant rate over `growthTime`, starting `growthDelay` after the
    /// report.
    Base::Tokens deferred;
    Base::Milliseconds growthDelay;
    Base::Milliseconds growthTime{1};
    /// The table service's clock at the report, or a lower bound of it.
    Base::Milliseconds reportedAt;

    /// Returns what the row counts for a holder whose allotment was closed: an allotment without a
    /// holder, which allows nothing beyond `countedAsSpent`.
    static Allotment closed(Base::Tokens countedAsSpent);

    /// Returns the maximum that the holder can have spent by `serviceNow`.
    Base::Tokens spendLimitAt(Base::Milliseconds serviceNow) const;

    /// Returns the tokens allotted to the holder, whether spendable yet or not.
    Base::Tokens total() const { return spent + immediate + deferred; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(holder, spent, immediate, deferred, growthDelay, growthTime, reportedAt);
    }
};

/// Returns the minimum of the spend limits of several reports, any of which may be the committed
/// one.
Base::Tokens minSpendLimit(std::span<const Allotment> candidates, Base::Milliseconds serviceNow);

/// An allotment that was closed at the maximum that its holder can have spent.
struct EstimatedClosing
{
    Base::InstanceId holder;
    Base::Tokens countedAsSpent;
    /// The table service's clock at the closing.
    Base::Milliseconds closedAt;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(holder, countedAsSpent, closedAt);
    }
};

/// The ledger row of one team: all tokens ever allotted. Their sum never exceeds the prepaid
/// tokens.
struct AllotmentRow
{
    /// How long an estimated closing can be corrected: an instance that received the exact amount
    /// writes it to the table within a few reports after the closing.
    static constexpr Base::Milliseconds CorrectionWindow{10'000};

    /// Spent by incarnations whose allotment is closed.
    Base::Tokens closedSpent;
    std::vector<Allotment> allotments;
    std::vector<EstimatedClosing> estimatedClosings;

    /// Returns the allotment of a holder, or null if it has none.
    const Allotment *find(const Base::InstanceId &holder) const;
    /// Closes a dead holder's allotment at the maximum it can have spent by `serviceNow`, and
    /// returns that amount.
    Base::Tokens closeByEstimate(const Base::InstanceId &holder, Base::Milliseconds serviceNow);
    /// Closes the allotment of a holder that reported its exact spending, or corrects an estimated
    /// closing.
    void closeExactly(const Base::InstanceId &holder, Base::Tokens spent);
    /// Drops the estimated closings that are too old to be corrected.
    void dropExpiredEstimates(Base::Milliseconds serviceNow);

    /// Returns all tokens that are spent or allotted.
    Base::Tokens totalAllotted() const;
    /// Returns all tokens that are allotted and not reported as spent.
    Base::Tokens unspent() const;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(closedSpent, allotments, estimatedClosings);
    }
};

} // namespace Carawaykeel::Budget
