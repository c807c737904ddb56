// The part of AllotmentHolder that moves tokens between instances.
#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

/// A borrower requests this many times what it needs, so that the next request is served locally.
constexpr std::int64_t BorrowFactor = 3;
/// Maximum number of lenders asked in one round of loan requests.
constexpr std::size_t MaxLenders = 8;
/// The minimum loan is the need divided by this; a smaller loan is not worth a message.
constexpr std::int64_t MinLoanDivisor = 8;
/// Beyond the minimum, a lender lends at most its spendable tokens divided by this.
constexpr std::int64_t MaxLoanDivisor = 2;
/// Instances that learn the final spending of one that shuts down. Some of them may end before they
/// reach the table: with three, an estimate stayed uncorrected in one of ten runs in which half a
/// fleet restarted.
constexpr std::size_t MaxTransferRecipients = 5;
/// Times that all lenders are asked again before a request that the team can pay for is refused.
constexpr int MaxBorrowRetries = 3;
/// The delay before asking again: in the meantime a lender that is short takes more from the table.
constexpr Base::Milliseconds BorrowRetryDelay{80};
/// Interval at which a request that waits for growth is tried again.
constexpr Base::Milliseconds GrowthPollInterval{150};
/// Loan requests that arrive within this time share one report of a lender that is short.
constexpr Base::Milliseconds LoanRequestBatchDelay{10};

} // namespace

void AllotmentHolder::grantPendingHolds(const Base::TeamId &team, Account &account)
{
    auto it = account.pendingHolds.begin();
    while (it != account.pendingHolds.end()) {
        if (tryGrantHold(team, account, *it)) {
            it = account.pendingHolds.erase(it);
        } else if (canReportNow()) {
            return;
        } else {
            ++it;
        }
    }
}

void AllotmentHolder::refusePendingHolds(Account &account)
{
    for (auto &pendingHold : std::exchange(account.pendingHolds, {}))
        refuseHold(pendingHold, account);
}

bool AllotmentHolder::mayGrowthCover(
    const Base::TeamId &team, const Account &account, const PendingHold &pendingHold) const
{
    const auto wait = pendingHold.since + m_policy.maxGrowthWait - m_scheduler.now();
    if (wait <= Base::Milliseconds() || m_isReturningAll)
        return false;
    const auto serviceNow = m_clock.earliestNow(m_scheduler.now());
    if (!serviceNow || account.row.allotments.empty())
        return !selectLenders(team, account).empty();
    Base::Tokens covered = account.borrowed;
    for (const auto &allotment : account.row.allotments)
        covered += allotment.spendLimitAt(*serviceNow + wait) - allotment.spent;
    return covered >= pendingHold.tokens;
}

void AllotmentHolder::waitForGrowth(const Base::TeamId &team, Account &account)
{
    std::deque<PendingHold> waiting;
    for (auto &pendingHold : std::exchange(account.pendingHolds, {})) {
        if (mayGrowthCover(team, account, pendingHold)) {
            waiting.push_back(std::move(pendingHold));
        } else {
            refuseHold(pendingHold, account);
        }
    }
    // A callback of a refusal may have added requests.
    std::ranges::move(waiting, std::back_inserter(account.pendingHolds));
    account.isBorrowing = !account.pendingHolds.empty();
    if (!account.isBorrowing)
        return;
    m_scheduler.schedule(GrowthPollInterval, [this, team] {
        auto &polled = m_accounts.at(team);
        grantPendingHolds(team, polled);
        polled.isBorrowing = false;
        startBorrowing(team, polled);
    });
}

void AllotmentHolder::startBorrowing(const Base::TeamId &team, Account &account)
{
    if (account.isBorrowing || account.pendingHolds.empty())
        return;
    account.isBorrowing = true;
    account.lenderReportedBalance.reset();
    account.remainingRounds = MaxBorrowRetries;
    account.lenders = selectLenders(team, account);
    borrowFromNextLender(team, account);
}

std::vector<Base::InstanceId> AllotmentHolder::selectLenders(
    const Base::TeamId &team, const Account &account) const
{
    if (!account.isRowRead) {
        auto lenders = holdersFor(team);
        std::erase_if(lenders,
            [&](const auto &each) { return each == m_self || m_lending.isUnresponsive(each); });
        std::ranges::shuffle(lenders, m_random);
        return lenders;
    }
    // Prefers the holders with the most tokens by the last row that was read. The row may be
    // outdated, so several holders are asked.
    auto others = account.row.allotments;
    std::erase_if(others, [&](const Allotment &other) {
        return other.holder.name == m_self.name || m_lending.isUnresponsive(other.holder);
    });
    std::ranges::sort(others, std::less<>(),
        [](const Allotment &other) { return (other.immediate + other.deferred).count(); });
    std::vector<Base::InstanceId> lenders;
    // An instance that has not read any row yet borrows from the instances it knows.
    if (others.empty())
        lenders = m_livePeers();
    for (const auto &other : others)
        lenders.push_back(other.holder);
    if (lenders.size() > MaxLenders)
        lenders.erase(lenders.begin(), lenders.end() - MaxLenders);
    return lenders;
}

void AllotmentHolder::borrowFromNextLender(const Base::TeamId &team, Account &account)
{
    if (!account.pendingHolds.empty() && !account.lenders.empty()) {
        const auto lender = account.lenders.back();
        account.lenders.pop_back();
        const auto needed = account.pendingHolds.front().tokens;
        // While the table is unreachable, tokens in reserve would be missing elsewhere.
        const auto requested = canReportNow() ? needed * BorrowFactor : needed - atHand(account);
        const auto minimum = std::min(needed / MinLoanDivisor, requested);
        m_lending.requestLoan(lender, team, std::max(minimum, Base::Tokens(1)),
            std::max(requested, Base::Tokens(1)),
            [this, team](const TokenLending::Loan &loan) { onLoanReply(team, loan); });
        return;
    }
    finishBorrowRound(team, account);
}

void AllotmentHolder::finishBorrowRound(const Base::TeamId &team, Account &account)
{
    const bool isHolder = isHolderOf(team, account);
    while (!isHolder && !account.pendingHolds.empty() && account.lenderReportedBalance
        && *account.lenderReportedBalance < account.pendingHolds.front().tokens) {
        auto pendingHold = std::move(account.pendingHolds.front());
        account.pendingHolds.pop_front();
        refuseHold(pendingHold, account);
    }
    // While the table is unreachable, what all lenders have is all there is, and each lends only a
    // part of it in a round. Otherwise a lender that is short first takes more from the table.
    const bool canLendersHaveMore = canReportNow()
        ? !isHolder && account.lenderReportedBalance.has_value()
        : std::exchange(account.hasBorrowedInRound, false);
    account.isBorrowing =
        !account.pendingHolds.empty() && canLendersHaveMore && account.remainingRounds-- > 0;
    if (account.isBorrowing) {
        const auto delay = canReportNow() ? BorrowRetryDelay : Base::Milliseconds();
        return m_scheduler.schedule(delay, [this, team] {
            auto &retried = m_accounts.at(team);
            retried.lenders = selectLenders(team, retried);
            borrowFromNextLender(team, retried);
        });
    }
    if (account.pendingHolds.empty())
        return;
    // Other instances than holders take from the table only after all holders were asked
    // repeatedly, since each further writer of a row conflicts with the others.
    if (canReportNow()) {
        account.needsAllotment = !isHolder;
        return scheduleReport();
    }
    waitForGrowth(team, account);
}

void AllotmentHolder::onLoanReply(const Base::TeamId &team, const TokenLending::Loan &loan)
{
    auto &account = m_accounts.at(team);
    if (loan.remainingBalance)
        account.lenderReportedBalance = loan.remainingBalance;
    if (loan.tokens > Base::Tokens()) {
        account.borrowed += loan.tokens;
        account.hasBorrowedInRound = true;
        account.loans.push_back(loan);
        grantPendingHolds(team, account);
    }
    borrowFromNextLender(team, account);
}

bool AllotmentHolder::canReportNow() const
{
    return m_isReporting || m_scheduler.now() >= m_tableRetryAt;
}

Base::Tokens AllotmentHolder::lend(
    const Base::TeamId &team, Base::Tokens minimum, Base::Tokens requested)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end() || m_isReturningAll)
        return {};
    auto &account = it->second;
    // While the table is unreachable, what covers no request here may cover one elsewhere.
    if (!account.pendingHolds.empty() && canReportNow())
        return {};
    const auto available = atHand(account);
    if (available < minimum) {
        // In a small fleet the borrower is a holder too and takes tokens from the table itself.
        if (!isSmallFleet())
            requestMoreTokens(account, requested);
        return {};
    }
    const auto tokens = std::max(minimum, std::min(requested, available / MaxLoanDivisor));
    // Lends borrowed tokens first: they exist only in memory and would be lost with this instance.
    const auto fromBorrowed = std::min(tokens, account.borrowed);
    account.borrowed -= fromBorrowed;
    account.spent += tokens - fromBorrowed;
    return tokens;
}

void AllotmentHolder::requestMoreTokens(Account &account, Base::Tokens requested)
{
    account.requestedByBorrowers += requested;
    if (m_isTableReachable && account.prepaid > account.row.totalAllotted())
        m_scheduler.schedule(LoanRequestBatchDelay, [this] { scheduleReport(); });
}

std::optional<Base::Tokens> AllotmentHolder::remainingBalanceOf(const Base::TeamId &team) const
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end() || !m_isTableReachable || !it->second.isRowRead)
        return std::nullopt;
    return it->second.remainingBalance();
}

void AllotmentHolder::onRepayment(const Base::TeamId &team, Base::Tokens tokens)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return;
    // In a small fleet repaid tokens are spendable at once. In a large one most tokens pass through
    // loans, so they return to the allotment, which outlives this incarnation.
    if (isSmallFleet()) {
        it->second.borrowed += tokens;
    } else {
        it->second.spent -= tokens;
    }
}

bool AllotmentHolder::isSmallFleet() const
{
    return m_livePeers().size() < m_policy.smallFleetSize;
}

void AllotmentHolder::onLateLoan(const Base::InstanceId &lender, std::uint64_t loanId,
    const Base::TeamId &team, Base::Tokens tokens)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return;
    it->second.borrowed += tokens;
    it->second.loans.push_back({lender, loanId, tokens});
    grantPendingHolds(team, it->second);
}

void AllotmentHolder::transferToPeers()
{
    auto peers = m_livePeers();
    // The final spending that the first message reports must not change afterwards.
    if (peers.empty() || std::exchange(m_hasTransferred, true))
        return;
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), MaxTransferRecipients));
    for (auto &[team, account] : m_accounts) {
        // Transfers only what is spendable now, whichever open commit takes effect: a successor
        // that has not received this message closes the allotment by the table's clock, and allots
        // the deferred tokens to others.
        const auto own = std::max(spendable(account), Base::Tokens());
        auto tokens = own + account.borrowed;
        // Counts them as spent in case this incarnation reaches the table after all.
        account.spent += own;
        account.borrowed = Base::Tokens();
        for (const auto &peer : peers) {
            const auto share = std::exchange(tokens, Base::Tokens());
            m_peers.send(peer, Peer::TransferTokens{team, share, account.spent});
        }
    }
}

void AllotmentHolder::returnBorrowedTokens()
{
    // The table gets them with what this incarnation has not spent of its own.
    for (auto &[team, account] : m_accounts)
        account.spent -= std::exchange(account.borrowed, Base::Tokens());
}

void AllotmentHolder::onTokensTransferred(
    const Base::InstanceId &from, const Peer::TransferTokens &message)
{
    const auto it = m_accounts.find(message.team);
    if (it == m_accounts.end())
        return;
    if (it->second.endedIncarnations.try_emplace(from, EndedIncarnation{message.spent}).second)
        it->second.borrowed += message.tokens;
}

void AllotmentHolder::repayLoans(Account &account)
{
    if (account.loans.empty())
        return;
    // A repayment to an incarnation that has ended would be lost.
    const auto livePeers = m_livePeers();
    std::erase_if(account.loans, [&](const TokenLending::Loan &loan) {
        return std::ranges::find(livePeers, loan.lender) == livePeers.end();
    });
    for (auto &loan : account.loans) {
        const auto repayable = std::min(loan.tokens, account.borrowed);
        if (repayable == Base::Tokens())
            continue;
        account.borrowed -= repayable;
        m_lending.repay(loan, repayable);
    }
    // Requests in progress may use less than is held for them; a holder keeps the difference.
    if (account.borrowedInHolds == Base::Tokens() || isSmallFleet())
        account.loans.clear();
}

} // namespace Carawaykeel::Budget
