#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Budget/Allotment.h>
#include <Carawaykeel/Budget/AllotmentObserver.h>
#include <Carawaykeel/Budget/AllotmentPolicy.h>
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

/// What a team may use in all.
struct PrepaidTokens
{
    Base::TeamId team;
    Base::Tokens tokens;
};

/// What happened since the start.
struct AllotmentCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refusedExhausted = 0;
    std::uint64_t refusedUnreachable = 0;
    std::uint64_t reports = 0;
    std::uint64_t reportsUnanswered = 0;
    std::uint64_t reportConflicts = 0;
    std::uint64_t reportsRefused = 0;
    /// Times that a life had spent more than the table set aside for it.
    std::uint64_t overdrafts = 0;
    /// Tokens of dead lives that were counted as spent and had not been reported so.
    std::int64_t tokensWrittenOff = 0;
};

/// Holds this instance's allotments and reports their use, all in one transaction. In a large fleet
/// a few instances hold allotments of a team, and the others borrow from them.
class AllotmentHolder : public TokenBudget, public LendingDelegate
{
public:
    /// The other instances that are thought to be alive.
    using PeerSource = std::function<std::vector<Base::InstanceId>()>;

    AllotmentHolder(Base::InstanceId self, Base::Scheduler &scheduler,
        Platform::TableService &table, Peer::PeerTransport &peers, PeerSource livePeers,
        const AllotmentPolicy &policy, Base::RandomEngine &random);

    /// Sets who is told what happens; borrowed for the holder's life.
    void setObserver(AllotmentObserver &observer) { m_observer = &observer; }

    /// Totals over all teams, and what became of holds and reports.
    void writeMetrics(Metrics::PrometheusWriter &text) const;

    /// Begins the periodic reports. Call once.
    void start();

    /// What teams have paid for; from now on the others may use nothing.
    void setPrepaid(const std::vector<PrepaidTokens> &prepaid);

    /// The most instances that one row of the table has named as holders; all of a small fleet.
    std::size_t maxHoldersSeen() const { return m_holdersSeen; }

    void hold(const Base::TeamId &team, Base::Tokens tokens,
        std::function<void(Base::Outcome<TokenHold>)> answer) override;
    void settle(const TokenHold &hold, Base::Tokens used) override;

    Base::Tokens lend(const Base::TeamId &team, Base::Tokens least, Base::Tokens wanted) override;
    std::optional<Base::Tokens> restOf(const Base::TeamId &team) const override;
    void takeBack(const Base::TeamId &team, Base::Tokens tokens) override;
    void onLateLoan(const Base::InstanceId &lender, std::uint64_t loan, const Base::TeamId &team,
        Base::Tokens tokens) override;

    /// Takes the messages of borrowers and lenders.
    TokenLending &lending() { return m_lending; }

    /// An instance that ends hands on what it may spend.
    void onTokensTransferred(const Base::InstanceId &from, const Peer::TransferTokens &message);

    /// Gives all that is not spent back, or hands it on to another instance while the table is
    /// away. Answers true when the table has it.
    void returnAll(std::function<void(bool)> answer);

private:
    struct Waiting
    {
        Base::Tokens tokens;
        std::function<void(Base::Outcome<TokenHold>)> answer;
    };
    struct EndedLife
    {
        Base::Tokens spent;
        /// The commit under way closes its allotment.
        bool isPlanned = false;
        /// The table has it.
        bool isClosed = false;
    };
    struct Account
    {
        Base::Tokens prepaid;
        /// Spent or set aside in this life.
        Base::Tokens spent;
        /// What the table may say of this life: more than one while a commit's answer is missing.
        std::vector<Allotment> possible;
        AllotmentRow row;
        std::uint64_t version = 0;
        /// The version that a commit without an answer expected.
        std::optional<std::uint64_t> unanswered;
        /// The commit under way follows one without an answer that may still land.
        bool wasUnanswered = false;
        /// The commit under way gives the allotment up, and counts so much as spent.
        std::optional<Base::Tokens> givenUp;
        /// The row was read by the last report.
        bool isRead = false;
        /// Tokens that others asked for and this instance did not have.
        Base::Tokens asked;
        /// What a lender said that the team has left in all, in the present round of loans.
        std::optional<Base::Tokens> restTold;
        /// Rounds of loans that may follow the present one.
        int roundsLeft = 0;
        /// No holder answers, so the table itself is asked for what requests wait for.
        bool wantsTable = false;
        std::deque<Waiting> waiting;
        /// Lives that are over and have told what they spent in all.
        std::map<Base::InstanceId, EndedLife> ended;
        /// Lent by others and not spent.
        Base::Tokens borrowed;
        /// Lent by others and set aside for requests that have not ended.
        Base::Tokens borrowedInUse;
        std::vector<TokenLending::Loan> loans;
        bool isBorrowing = false;
        /// Instances that may be asked for a loan, the next one last.
        std::vector<Base::InstanceId> lenders;
        double tokensPerSecond = 0;
        Base::Tokens spentAtLastReport;

        /// What the team has left in all, by the row as it was last read.
        Base::Tokens rest() const;
    };
    struct Closing
    {
        Base::TeamId team;
        Allotment allotment;
        Base::Tokens counted;
    };
    using Accounts = std::map<Base::TeamId, Account>;

    static std::string keyOf(const Base::TeamId &team);
    Base::Tokens spendable(const Account &account) const;
    bool tryServe(const Base::TeamId &team, Account &account, Waiting &waiting);
    void report();
    void reportSoon();
    bool mustWrite(const Base::TeamId &team, const Account &account) const;
    bool everyoneHolds() const;
    bool isHolderOf(const Base::TeamId &team, const Account &account) const;
    std::vector<Base::InstanceId> holdersOf(const Base::TeamId &team) const;
    void addHoldersInRows(std::vector<Base::InstanceId> &instances) const;
    void readRows(int triesLeft);
    void onRows(bool isReached, std::optional<Base::Milliseconds> serviceNow,
        const std::vector<Platform::Row> &rows, int triesLeft);
    void adopt(const Base::TeamId &team, Account &account, const Platform::Row *row);
    void write(int triesLeft);
    AllotmentRow plan(const Base::TeamId &team, Account &account, Base::Milliseconds serviceNow);
    static void finishGivingUp(Account &account);
    bool planGivingUp(const Base::TeamId &team, Account &account, AllotmentRow &next) const;
    void onLanded();
    void onNotLanded();
    Base::Milliseconds growthTimeFor(const Account &account, Base::Tokens later) const;
    Allotment nextAllotment(const Account &account, Base::Tokens available) const;
    void checkCover(const Base::TeamId &team, const Account &account);
    void onCommitted(const Platform::CommitReply &reply, int triesLeft);
    void tryAgain(int triesLeft);
    void finishReport(bool isReached);
    void serveWaiting(const Base::TeamId &team, Account &account);
    void refuseWaiting(Account &account);
    void borrow(const Base::TeamId &team, Account &account);
    void askNextLender(const Base::TeamId &team, Account &account);
    std::vector<Base::InstanceId> likelyLenders(
        const Base::TeamId &team, const Account &account) const;
    void takeMoreSoon(Account &account, Base::Tokens wanted);
    void endRound(const Base::TeamId &team, Account &account);
    void onLoan(const Base::TeamId &team, const TokenLending::Loan &loan);
    void returnLoans(Account &account);
    bool isTableWorthAsking() const;
    void passOn();
    void refuse(Waiting &waiting, Account &account);
    std::string describeShortage(
        std::string_view reason, const Waiting &waiting, const Account &account) const;
    void measureUse();

    const Base::InstanceId m_self;
    Base::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    const AllotmentPolicy m_policy;
    Base::RandomEngine &m_random;
    Accounts m_accounts;
    /// The teams whose rows the report under way reads.
    std::vector<Base::TeamId> m_reported;
    /// The teams that the commit under way writes.
    std::vector<Base::TeamId> m_written;
    Peer::PeerTransport &m_peers;
    const PeerSource m_livePeers;
    TokenLending m_lending;
    ServiceClock m_clock;
    Base::Milliseconds m_measuredAt;
    Base::Milliseconds m_notBefore;
    std::size_t m_holdersSeen = 0;
    /// Every row was read once and what an earlier life held was closed; from then on only the rows
    /// that this instance has a part in are read.
    bool m_hasClosedAll = false;
    bool m_isReporting = false;
    bool m_isReportDue = false;
    bool m_isTableReached = false;
    bool m_isHandingBack = false;
    bool m_hasPassedOn = false;
    std::function<void(bool)> m_handBackAnswer;
    /// Allotments that the commit under way closes by estimate.
    std::vector<Closing> m_closings;
    AllotmentCounters m_counters;
    /// Null when nobody observes.
    AllotmentObserver *m_observer = nullptr;
    /// When the commit under way was sent.
    Base::Milliseconds m_committedAt;
};

} // namespace Carawaykeel::Budget
