#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Budget/Allotment.h>
#include <Carawaykeel/Budget/AllotmentObserver.h>
#include <Carawaykeel/Budget/AllotmentPolicy.h>
#include <Carawaykeel/Budget/RecentUse.h>
#include <Carawaykeel/Budget/ServiceClock.h>
#include <Carawaykeel/Budget/TokenBudget.h>
#include <Carawaykeel/Budget/TokenLending.h>
#include <Carawaykeel/Metrics/PrometheusWriter.h>
#include <Carawaykeel/Platform/TableService.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Budget {

/// The total that a team may spend.
struct PrepaidTokens
{
    Base::TeamId team;
    Base::Tokens tokens;
};

struct AllotmentCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refusedExhausted = 0;
    std::uint64_t refusedUnavailable = 0;
    std::uint64_t reports = 0;
    std::uint64_t reportsWithoutReply = 0;
    std::uint64_t reportConflicts = 0;
    std::uint64_t reportsRefused = 0;
    /// Number of times that this incarnation has spent more than its allotment in the table.
    std::uint64_t overdrafts = 0;
    /// Tokens of dead incarnations that were counted as spent without a report.
    std::int64_t tokensWrittenOff = 0;
};

/// Holds this instance's allotments and reports their use for all teams, in as few transactions as
/// the table service's limits allow. In a
/// large fleet a few instances hold allotments of a team, and the others borrow from them.
class AllotmentHolder : public TokenBudget, public LendingDelegate
{
public:
    /// Returns the other instances that are assumed to be alive.
    using PeerSource = std::function<std::vector<Base::InstanceId>()>;

    AllotmentHolder(Base::InstanceId self, Base::Scheduler &scheduler,
        Platform::TableService &table, Peer::PeerTransport &peers, PeerSource livePeers,
        const AllotmentPolicy &policy, Base::RandomEngine &random);

    /// Sets the observer, which must outlive this object.
    void setObserver(AllotmentObserver &observer) { m_observer = &observer; }

    /// Writes totals over all teams and the outcomes of holds and reports.
    void writeMetrics(Metrics::PrometheusWriter &writer) const;

    /// Starts the periodic reports. Call once.
    void start();

    /// Sets the prepaid tokens of all teams; teams that are not listed may spend nothing.
    void setPrepaid(const std::vector<PrepaidTokens> &prepaid);

    /// Returns the largest number of holders seen in one row. In a small fleet all instances are
    /// holders.
    std::size_t maxHoldersSeen() const { return m_maxHoldersSeen; }

    /// Returns the tokens of a team that may be spent here now, own and borrowed; none after
    /// returnAll().
    Base::Tokens tokensAtHand(const Base::TeamId &team) const;

    void hold(const Base::TeamId &team, Base::Tokens tokens,
        std::function<void(Base::Outcome<TokenHold>)> callback) override;
    void settle(const TokenHold &hold, Base::Tokens used) override;

    Base::Tokens lend(
        const Base::TeamId &team, Base::Tokens minimum, Base::Tokens requested) override;
    std::optional<Base::Tokens> remainingBalanceOf(const Base::TeamId &team) const override;
    void onRepayment(const Base::TeamId &team, Base::Tokens tokens) override;
    void onLateLoan(const Base::InstanceId &lender, std::uint64_t loanId, const Base::TeamId &team,
        Base::Tokens tokens) override;

    /// Returns the component that handles the messages of borrowers and lenders.
    TokenLending &lending() { return m_lending; }

    /// Takes the tokens that an instance transfers when it shuts down.
    void onTokensTransferred(const Base::InstanceId &from, const Peer::TransferTokens &message);

    /// Returns all unspent tokens to the table, or transfers them to another instance if the table
    /// is unreachable. Calls `callback` with true if the table has them. A return without a reply
    /// is repeated until the rows show it, without a time limit, so the caller sets one.
    void returnAll(std::function<void(bool)> callback);

private:
    struct PendingHold
    {
        Base::Tokens tokens;
        std::function<void(Base::Outcome<TokenHold>)> callback;
        Base::Milliseconds since;
    };
    struct EndedIncarnation
    {
        Base::Tokens spent;
        /// The commit in progress closes its allotment.
        bool isClosing = false;
        /// Its closing is committed.
        bool isClosed = false;
    };
    struct Account
    {
        explicit Account(double rateWeight)
            : recentUse(rateWeight)
        {
        }

        Base::Tokens prepaid;
        /// Spent, held and lent by this incarnation since its start, less what came back. Negative
        /// if more tokens of others came back than it spent itself.
        Base::Tokens spent;
        /// What the row may count for this incarnation, the last known first: more than one while a
        /// commit is in progress or pending without a reply.
        std::vector<Allotment> possibleAllotments;
        AllotmentRow row;
        std::uint64_t version = 0;
        /// The row version that the pending commit without a reply expects.
        std::optional<std::uint64_t> pendingCommitVersion;
        /// The commit in progress follows one without a reply, which may still take effect.
        bool hadPendingCommit = false;
        /// The last report read the row.
        bool isRowRead = false;
        /// Tokens that borrowers requested and this instance did not have.
        Base::Tokens requestedByBorrowers;
        /// The team's remaining balance as reported by a lender in the current round of loan
        /// requests.
        std::optional<Base::Tokens> lenderReportedBalance;
        /// A lender has lent in the current round of loan requests.
        bool hasBorrowedInRound = false;
        /// Rounds of loan requests that may follow the current one.
        int remainingRounds = 0;
        /// Set if no holder replied: the next report takes an allotment for the pending holds.
        bool needsAllotment = false;
        std::deque<PendingHold> pendingHolds;
        /// Incarnations that shut down and reported their exact spending.
        std::map<Base::InstanceId, EndedIncarnation> endedIncarnations;
        /// Borrowed from other instances and not spent.
        Base::Tokens borrowed;
        /// Borrowed from other instances and held for requests in progress.
        Base::Tokens borrowedInHolds;
        std::vector<TokenLending::Loan> loans;
        bool isBorrowing = false;
        /// Instances that can still be asked for a loan, the next one last.
        std::vector<Base::InstanceId> lenders;
        RecentUse recentUse;
        Base::Tokens spentAtLastMeasurement;

        /// Returns the team's remaining balance by the row as last read.
        Base::Tokens remainingBalance() const;
        /// The row may have an allotment of this incarnation.
        bool mayHoldAllotment() const;
        /// The row has no allotment of this incarnation and counts other tokens as spent by it than
        /// it spent.
        bool isClosedInexactly() const;
    };
    struct Closing
    {
        Base::TeamId team;
        Allotment allotment;
        Base::Tokens countedAsSpent;
    };
    using Accounts = std::map<Base::TeamId, Account>;

    static std::string rowKey(const Base::TeamId &team);
    Base::Tokens spendable(const Account &account) const;
    Base::Tokens atHand(const Account &account) const;
    bool tryGrantHold(const Base::TeamId &team, Account &account, PendingHold &pendingHold);
    void startReport();
    void scheduleReport();
    bool needsWrite(const Base::TeamId &team, const Account &account) const;
    bool isSmallFleet() const;
    bool isHolderOf(const Base::TeamId &team, const Account &account) const;
    std::vector<Base::InstanceId> holdersFor(const Base::TeamId &team) const;
    void addHoldersFromRows(std::vector<Base::InstanceId> &instances) const;
    void readRows(int remainingTries);
    void onRowsRead(bool isReachable, std::optional<Base::Milliseconds> serviceNow,
        const std::vector<Platform::Row> &rows, int remainingTries);
    void adoptRow(const Base::TeamId &team, Account &account, const Platform::Row *row,
        Base::Milliseconds serviceNow);
    /// Returns what the row that was just read counts for this incarnation.
    Allotment ownPartOf(const Account &account, Base::Milliseconds serviceNow) const;
    void commitBatch(int remainingTries);
    void commitNextBatch();
    static bool isReturned(const Account &account);
    bool hasToReturn(Platform::CommitOutcome outcome) const;
    Platform::Transaction planBatch();
    AllotmentRow planRow(const Base::TeamId &team, Account &account, Base::Milliseconds serviceNow);
    void onCommitApplied();
    void onCommitRejected();
    Allotment planAllotment(const Account &account, Base::Tokens available) const;
    void seedRecentUse(Account &account, const Allotment &predecessor) const;
    void checkOverdraft(const Base::TeamId &team, const Account &account);
    void onCommitReply(const Platform::CommitReply &reply, int remainingTries);
    void retryBatch(int remainingTries);
    void putUnreportedTeamsFirst();
    void finishReport(bool isReachable);
    void grantPendingHolds(const Base::TeamId &team, Account &account);
    void refusePendingHolds(Account &account);
    void waitForGrowth(const Base::TeamId &team, Account &account);
    bool mayGrowthCover(
        const Base::TeamId &team, const Account &account, const PendingHold &pendingHold) const;
    void startBorrowing(const Base::TeamId &team, Account &account);
    void borrowFromNextLender(const Base::TeamId &team, Account &account);
    std::vector<Base::InstanceId> selectLenders(
        const Base::TeamId &team, const Account &account) const;
    void requestMoreTokens(Account &account, Base::Tokens requested);
    void finishBorrowRound(const Base::TeamId &team, Account &account);
    void onLoanReply(const Base::TeamId &team, const TokenLending::Loan &loan);
    void repayLoans(Account &account);
    bool canReportNow() const;
    void transferToPeers();
    void returnBorrowedTokens();
    void refuseHold(PendingHold &pendingHold, Account &account);
    std::string describeShortage(
        std::string_view reason, const PendingHold &pendingHold, const Account &account) const;
    void measureUsage();

    const Base::InstanceId m_self;
    Base::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    const AllotmentPolicy m_policy;
    Base::RandomEngine &m_random;
    Accounts m_accounts;
    /// The teams whose rows the report in progress reads.
    std::vector<Base::TeamId> m_reportedTeams;
    /// Teams of the report in progress whose rows may still have to be written.
    std::deque<Base::TeamId> m_unwrittenTeams;
    /// The teams whose rows the commit in progress writes.
    std::vector<Base::TeamId> m_writtenTeams;
    /// The next report writes this team and those after it first, since the last one did not.
    std::optional<Base::TeamId> m_firstTeam;
    Peer::PeerTransport &m_peers;
    const PeerSource m_livePeers;
    TokenLending m_lending;
    ServiceClock m_clock;
    Base::Milliseconds m_usageMeasuredAt;
    Base::Milliseconds m_tableRetryAt;
    std::size_t m_maxHoldersSeen = 0;
    /// Every row was read once and the allotments of earlier incarnations were closed. After that,
    /// only the rows that concern this instance are read.
    bool m_hasClosedPredecessors = false;
    bool m_isReporting = false;
    /// The report in progress returns all allotments.
    bool m_isReportReturning = false;
    /// A batch of the report in progress was given up after conflicts.
    bool m_hasSkippedBatch = false;
    bool m_isReportScheduled = false;
    bool m_isTableReachable = false;
    bool m_isReturningAll = false;
    /// The last read got a reply, even if the commit after it did not.
    bool m_isReadAnswered = false;
    /// A returning commit got no reply, and the rows have not shown yet whether it took effect.
    bool m_isReturnUnconfirmed = false;
    bool m_hasTransferred = false;
    std::function<void(bool)> m_returnAllCallback;
    /// Allotments that the commit in progress closes by estimate.
    std::vector<Closing> m_closings;
    AllotmentCounters m_counters;
    /// Null if no observer is set.
    AllotmentObserver *m_observer = nullptr;
    /// When the commit in progress was sent.
    Base::Milliseconds m_commitSentAt;
};

} // namespace Carawaykeel::Budget
