#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>

#include <span>
#include <vector>

namespace Carawaykeel::Budget {

/// What one life of an instance may spend of a team's tokens, as its last report to the table says.
/// The right grows with the service's clock: so whoever finds the holder dead knows from the clock
/// alone how much it can have spent, and that is little while reports are fresh.
struct Allotment
{
    Base::InstanceId holder;
    /// Spent or set aside by the time of the report.
    Base::Tokens spent;
    /// May be spent at once after the report.
    Base::Tokens immediate;
    /// Becomes free evenly over the growth time, which begins this long after the report.
    Base::Tokens deferred;
    Base::Milliseconds growthDelay;
    Base::Milliseconds growthTime{1};
    /// The service's clock at the report, or some time before it.
    Base::Milliseconds reportedAt;

    /// The most that the holder may have spent in all by a moment of the service's clock.
    Base::Tokens limitAt(Base::Milliseconds serviceNow) const;

    /// All that is set aside for the holder, however long it lives.
    Base::Tokens total() const { return spent + immediate + deferred; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(holder, spent, immediate, deferred, growthDelay, growthTime, reportedAt);
    }
};

/// The most that may have been spent in all while any of several reports may be the one in force.
Base::Tokens smallestLimit(std::span<const Allotment> possible, Base::Milliseconds serviceNow);

/// An allotment that was closed at the most its holder can have spent.
struct EstimatedClosing
{
    Base::InstanceId holder;
    Base::Tokens counted;
    /// The service's clock at the closing.
    Base::Milliseconds closedAt;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(holder, counted, closedAt);
    }
};

/// The books of one team: all that was ever set aside. Their sum never passes what is prepaid.
struct AllotmentRow
{
    /// A closing can be corrected for so long: an instance that knows better reaches the table
    /// within a few reports after the one that closed.
    static constexpr Base::Milliseconds CorrectionTime{10'000};

    /// Spent by lives that are over.
    Base::Tokens closed;
    std::vector<Allotment> allotments;
    std::vector<EstimatedClosing> estimates;

    /// A holder's allotment; null when it has none.
    const Allotment *find(const Base::InstanceId &holder) const;
    /// Closes a dead holder's allotment at the most it can have spent by now. Answers that amount.
    Base::Tokens closeByEstimate(const Base::InstanceId &holder, Base::Milliseconds serviceNow);
    /// Closes the allotment of a holder that has said what it spent, or corrects its closing.
    void closeExactly(const Base::InstanceId &holder, Base::Tokens spent);
    /// Drops the closings that are too old to be corrected.
    void forgetEstimates(Base::Milliseconds serviceNow);

    /// Everything that is spent or set aside.
    Base::Tokens granted() const;
    /// Everything that is set aside and not reported as spent.
    Base::Tokens unspent() const;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(closed, allotments, estimates);
    }
};

} // namespace Carawaykeel::Budget
