// The part of AllotmentHolder that moves tokens between instances.
#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

/// A borrower requests this many times what it needs, so that the next request is served locally.
constexpr std::int64_t BorrowFactor = 3;
/// Maximum number of lenders asked on behalf of one request.
constexpr std::size_t MostLenders = 8;
/// The minimum loan is the need divided by this; a smaller loan is not worth a message.
constexpr std::int64_t LeastPart = 8;
/// Beyond the minimum, a lender lends at most its spendable tokens divided by this.
constexpr std::int64_t LendDivisor = 2;
/// Instances that learn the final spending of one that shuts down; one of them may die before it
/// reaches the table.
constexpr std::size_t ToldOfEnd = 3;
/// Times that all lenders are asked again before a request that the team can pay for is refused.
constexpr int MoreRounds = 3;
/// The delay before asking again: in the meantime a lender that is short takes more from the table.
constexpr Base::Milliseconds RoundPause{80};
/// Loan requests that arrive within this time share one report of a lender that is short.
constexpr Base::Milliseconds AskedPause{10};

} // namespace

void AllotmentHolder::serveWaiting(const Base::TeamId &team, Account &account)
{
    while (!account.waiting.empty() && tryServe(team, account, account.waiting.front()))
        account.waiting.pop_front();
}

void AllotmentHolder::refuseWaiting(Account &account)
{
    for (auto &waiting : std::exchange(account.waiting, {}))
        refuse(waiting, account);
}

void AllotmentHolder::borrow(const Base::TeamId &team, Account &account)
{
    if (account.isBorrowing || account.waiting.empty())
        return;
    account.isBorrowing = true;
    account.restTold.reset();
    account.roundsLeft = MoreRounds;
    account.lenders = likelyLenders(team, account);
    askNextLender(team, account);
}

std::vector<Base::InstanceId> AllotmentHolder::likelyLenders(
    const Base::TeamId &team, const Account &account) const
{
    if (!account.isRead) {
        auto lenders = holdersOf(team);
        std::erase_if(
            lenders, [&](const auto &each) { return each == m_self || m_lending.isSilent(each); });
        std::ranges::shuffle(lenders, m_random);
        return lenders;
    }
    // Prefers the holders with the most tokens by the last row that was read. The row may be
    // outdated, so several holders are asked.
    auto others = account.row.allotments;
    std::erase_if(others, [&](const Allotment &other) {
        return other.holder.name == m_self.name || m_lending.isSilent(other.holder);
    });
    std::ranges::sort(others, std::less<>(),
        [](const Allotment &other) { return (other.open + other.later).count(); });
    std::vector<Base::InstanceId> lenders;
    // An instance that has not read any row yet asks the instances it knows.
    if (others.empty())
        lenders = m_livePeers();
    for (const auto &other : others)
        lenders.push_back(other.holder);
    if (lenders.size() > MostLenders)
        lenders.erase(lenders.begin(), lenders.end() - MostLenders);
    return lenders;
}

void AllotmentHolder::askNextLender(const Base::TeamId &team, Account &account)
{
    if (!account.waiting.empty() && !account.lenders.empty()) {
        const auto lender = account.lenders.back();
        account.lenders.pop_back();
        const auto needed = account.waiting.front().tokens;
        m_lending.ask(lender, team, std::max(needed / LeastPart, Base::Tokens(1)),
            needed * BorrowFactor,
            [this, team](const TokenLending::Loan &loan) { onLoan(team, loan); });
        return;
    }
    endRound(team, account);
}

void AllotmentHolder::endRound(const Base::TeamId &team, Account &account)
{
    const bool isHolder = isHolderOf(team, account);
    while (!isHolder && !account.waiting.empty() && account.restTold
        && *account.restTold < account.waiting.front().tokens) {
        auto waiting = std::move(account.waiting.front());
        account.waiting.pop_front();
        refuse(waiting, account);
    }
    account.isBorrowing = !account.waiting.empty() && !isHolder && account.restTold.has_value()
        && account.roundsLeft-- > 0;
    if (account.isBorrowing) {
        return m_scheduler.schedule(RoundPause, [this, team] {
            auto &again = m_accounts.at(team);
            again.lenders = likelyLenders(team, again);
            askNextLender(team, again);
        });
    }
    if (account.waiting.empty())
        return;
    // A holder takes what it lacks from the table; other instances do so only if no holder replies.
    if (isTableWorthAsking() && (isHolder || !account.restTold)) {
        account.wantsTable = !isHolder;
        return reportSoon();
    }
    refuseWaiting(account);
}

void AllotmentHolder::onLoan(const Base::TeamId &team, const TokenLending::Loan &loan)
{
    auto &account = m_accounts.at(team);
    if (loan.rest)
        account.restTold = loan.rest;
    if (loan.tokens > Base::Tokens()) {
        account.borrowed += loan.tokens;
        account.loans.push_back(loan);
        serveWaiting(team, account);
    }
    askNextLender(team, account);
}

bool AllotmentHolder::isTableWorthAsking() const
{
    return m_isReporting || m_scheduler.now() >= m_notBefore;
}

Base::Tokens AllotmentHolder::lend(
    const Base::TeamId &team, Base::Tokens least, Base::Tokens wanted)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end() || m_isHandingBack || !it->second.waiting.empty())
        return {};
    auto &account = it->second;
    const auto own = std::max(spendable(account), Base::Tokens());
    const auto here = own + account.borrowed;
    if (here < least) {
        // In a small fleet the borrower is a holder too and takes tokens from the table itself.
        if (!everyoneHolds())
            takeMoreSoon(account, wanted);
        return {};
    }
    const auto tokens = std::max(least, std::min(wanted, here / LendDivisor));
    // Lends borrowed tokens first: they exist only in memory and would be lost with this instance.
    const auto ofBorrowed = std::min(tokens, account.borrowed);
    account.borrowed -= ofBorrowed;
    account.spent += tokens - ofBorrowed;
    return tokens;
}

void AllotmentHolder::takeMoreSoon(Account &account, Base::Tokens wanted)
{
    account.asked += wanted;
    if (m_isTableReached && account.prepaid > account.row.granted())
        m_scheduler.schedule(AskedPause, [this] { reportSoon(); });
}

std::optional<Base::Tokens> AllotmentHolder::restOf(const Base::TeamId &team) const
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end() || !m_isTableReached || !it->second.isRead)
        return std::nullopt;
    return it->second.rest();
}

void AllotmentHolder::takeBack(const Base::TeamId &team, Base::Tokens tokens)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return;
    // In a small fleet repaid tokens are spendable at once. In a large one most tokens pass through
    // loans, so they return to the allotment, which outlives this incarnation.
    if (everyoneHolds()) {
        it->second.borrowed += tokens;
    } else {
        it->second.spent -= tokens;
    }
}

bool AllotmentHolder::everyoneHolds() const
{
    return m_livePeers().size() < m_policy.smallFleet;
}

void AllotmentHolder::onLateLoan(const Base::InstanceId &lender, std::uint64_t loan,
    const Base::TeamId &team, Base::Tokens tokens)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return;
    it->second.borrowed += tokens;
    it->second.loans.push_back({lender, loan, tokens});
    serveWaiting(team, it->second);
}

void AllotmentHolder::passOn()
{
    auto peers = m_livePeers();
    // The final spending that the first message reports must not change afterwards.
    if (peers.empty() || std::exchange(m_hasPassedOn, true))
        return;
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), ToldOfEnd));
    for (auto &[team, account] : m_accounts) {
        // Transfers only what is spendable now: a successor that has not received this message
        // closes the allotment by the table's clock, and allots the deferred tokens to others.
        const auto own = std::max(spendable(account), Base::Tokens());
        auto tokens = own + account.borrowed;
        // Counts them as spent in case this incarnation reaches the table after all.
        account.spent += own;
        account.borrowed = Base::Tokens();
        for (const auto &peer : peers) {
            const auto share = std::exchange(tokens, Base::Tokens());
            m_peers.send(peer, Peer::PassTokens{team, share, account.spent});
        }
    }
}

void AllotmentHolder::onPassed(const Base::InstanceId &from, const Peer::PassTokens &message)
{
    const auto it = m_accounts.find(message.team);
    if (it == m_accounts.end() || m_isHandingBack)
        return;
    if (it->second.ended.try_emplace(from, EndedLife{message.spent}).second)
        it->second.borrowed += message.tokens;
}

void AllotmentHolder::returnLoans(Account &account)
{
    for (auto &loan : account.loans) {
        const auto rest = std::min(loan.tokens, account.borrowed);
        if (rest == Base::Tokens())
            continue;
        account.borrowed -= rest;
        m_lending.giveBack(loan, rest);
    }
    // Requests in progress may use less than is held for them; a holder keeps the difference.
    if (account.borrowedInUse == Base::Tokens() || everyoneHolds())
        account.loans.clear();
}

} // namespace Carawaykeel::Budget
