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

    /// Returns what the row counts for a holder whose allotment was closed, or that never had one:
    /// an allotment without a holder, which allows nothing beyond `countedAsSpent`.
    static Allotment closed(Base::Tokens countedAsSpent, Base::Milliseconds closedAt);
    bool isClosed() const { return holder == Base::InstanceId(); }

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

/// An allotment that was closed, at what its holder spent or at the maximum that it can have spent.
struct ClosedAllotment
{
    /// As closingKeyOf() returns it.
    Base::InstanceId key;
    Base::Tokens countedAsSpent;
    /// The table service's clock at the closing, or a lower bound of it.
    Base::Milliseconds closedAt;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, countedAsSpent, closedAt);
    }
};

/// Returns what identifies a holder in its closing: a hash, which takes less of the row than the
/// name.
Base::InstanceId closingKeyOf(const Base::InstanceId &holder);

/// The ledger row of one team: all tokens ever allotted. Their sum never exceeds the prepaid
/// tokens.
struct AllotmentRow
{
    /// How long the row names a closing. In this time the holder sees which of its writes took
    /// effect, and an instance that received the exact amount corrects an estimate.
    static constexpr Base::Milliseconds ClosingRetention{30'000};

    /// Spent by incarnations whose allotment is closed.
    Base::Tokens closedSpent;
    std::vector<Allotment> allotments;
    std::vector<ClosedAllotment> closings;

    /// Returns the allotment of a holder, or null if it has none.
    const Allotment *find(const Base::InstanceId &holder) const;
    /// Returns the closing of a holder, or null if the row names none.
    const ClosedAllotment *findClosing(const Base::InstanceId &holder) const;
    /// Takes out what the row counts for a holder. Without an allotment this is `closedAs`.
    void removeHolder(const Base::InstanceId &holder, Base::Tokens closedAs);
    /// Counts tokens as spent by a holder for which the row counts nothing.
    void addClosing(
        const Base::InstanceId &holder, Base::Tokens countedAsSpent, Base::Milliseconds serviceNow);
    /// Closes a dead holder's allotment at the maximum it can have spent by `serviceNow`, and
    /// returns that amount.
    Base::Tokens closeByEstimate(const Base::InstanceId &holder, Base::Milliseconds serviceNow);
    /// Closes the allotment of a holder that reported its final spending. Lowers a closing that
    /// counts more; one that counts less is more recent than the report.
    void closeExactly(
        const Base::InstanceId &holder, Base::Tokens spent, Base::Milliseconds serviceNow);
    /// Returns true if a row that was read at `serviceNow` still names each closing of that time.
    static bool isRetained(Base::Milliseconds closedAt, Base::Milliseconds serviceNow);
    /// Drops the closings that need not be retained.
    void dropExpiredClosings(Base::Milliseconds serviceNow);

    /// Returns all tokens that are spent or allotted.
    Base::Tokens totalAllotted() const;
    /// Returns all tokens that are allotted and not reported as spent.
    Base::Tokens unspent() const;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(closedSpent, allotments, closings);
    }
};

} // namespace Carawaykeel::Budget
