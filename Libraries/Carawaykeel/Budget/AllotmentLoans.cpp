// The part of AllotmentHolder that moves tokens between instances.
#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>
#include <random>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

/// A borrower asks for this many times what it needs, so that the next request need not ask.
constexpr std::int64_t BorrowFactor = 3;
/// Lenders that are asked for one request at most.
constexpr std::size_t MostLenders = 8;
/// A loan of less than one part in this many of the need is not worth a message.
constexpr std::int64_t LeastPart = 8;
/// A lender gives away at most one part in this many of what it may spend beyond the need.
constexpr std::int64_t LendDivisor = 2;
/// Instances that hear what an ending one has spent; one of them may die before it reaches the
/// table.
constexpr std::size_t ToldOfEnd = 3;
/// Times that all lenders are asked again before a request is refused that the team can pay for...
constexpr int MoreRounds = 3;
/// ...and the pause before: a lender that is short takes more from the table meanwhile.
constexpr Base::Milliseconds RoundPause{80};
/// Questions that come within this time share a report of a lender that is short.
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
    // The last row that was read says who has most; it may be old, so several are asked.
    auto others = account.row.allotments;
    std::erase_if(others, [&](const Allotment &other) {
        return other.holder.name == m_self.name || m_lending.isSilent(other.holder);
    });
    std::ranges::sort(others, std::less<>(),
        [](const Allotment &other) { return (other.immediate + other.deferred).count(); });
    std::vector<Base::InstanceId> lenders;
    // An instance that has read no rows yet asks whom it knows.
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
    // A holder takes from the table what it lacks; another only when no holder answers.
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
        // In a small fleet the borrower is a holder too and asks the table itself.
        if (!everyoneHolds())
            takeMoreSoon(account, wanted);
        return {};
    }
    const auto tokens = std::max(least, std::min(wanted, here / LendDivisor));
    // What is only in memory goes first; it would be lost with this instance.
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
    // In a small fleet what comes back is at hand at once. In a large one most tokens pass through
    // loans, so they go back into the allotment, which outlasts this life.
    if (everyoneHolds()) {
        it->second.borrowed += tokens;
    } else {
        it->second.spent -= tokens;
    }
}

bool AllotmentHolder::everyoneHolds() const
{
    return m_livePeers().size() < m_policy.smallFleetSize;
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
    // What the first message said of this life's end must stay true.
    if (peers.empty() || std::exchange(m_hasPassedOn, true))
        return;
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), ToldOfEnd));
    for (auto &[team, account] : m_accounts) {
        // Only what is free by now: a successor that knows nothing of this message closes the
        // allotment by the table's clock, and gives what becomes free later to others.
        const auto own = std::max(spendable(account), Base::Tokens());
        auto tokens = own + account.borrowed;
        // From here on they are spent, should this life still reach the table.
        account.spent += own;
        account.borrowed = Base::Tokens();
        for (const auto &peer : peers) {
            const auto share = std::exchange(tokens, Base::Tokens());
            m_peers.send(peer, Peer::TransferTokens{team, share, account.spent});
        }
    }
}

void AllotmentHolder::onTokensTransferred(
    const Base::InstanceId &from, const Peer::TransferTokens &message)
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
    // Requests under way may use less than was set aside for them; a holder keeps the difference.
    if (account.borrowedInUse == Base::Tokens() || everyoneHolds())
        account.loans.clear();
}

} // namespace Carawaykeel::Budget
