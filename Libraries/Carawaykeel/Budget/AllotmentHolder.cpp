#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

/// The Retry-After for a team whose tokens are held by other instances.
constexpr Base::Milliseconds HeldElsewhereRetryAfter{500};

} // namespace

AllotmentHolder::AllotmentHolder(Base::InstanceId self, Base::Scheduler &scheduler,
    Platform::TableService &table, Peer::PeerTransport &peers, PeerSource livePeers,
    const AllotmentPolicy &policy, Base::RandomEngine &random)
    : m_self(std::move(self))
    , m_scheduler(scheduler)
    , m_table(table)
    , m_policy(policy)
    , m_random(random)
    , m_peers(peers)
    , m_livePeers(std::move(livePeers))
    , m_lending(scheduler, peers, *this)
    , m_usageMeasuredAt(scheduler.now())
{
}

void AllotmentHolder::start()
{
    startReport();
    m_scheduler.schedule(m_policy.reportInterval, [this] { start(); });
}

void AllotmentHolder::setPrepaid(const std::vector<PrepaidTokens> &prepaid)
{
    for (auto &[team, account] : m_accounts)
        account.prepaid = Base::Tokens();
    bool isNew = false;
    for (const auto &entry : prepaid) {
        const auto [it, isAdded] = m_accounts.try_emplace(entry.team, m_policy.rateWeight);
        isNew = isNew || isAdded || it->second.prepaid != entry.tokens;
        it->second.prepaid = entry.tokens;
    }
    if (isNew)
        scheduleReport();
}

Base::Tokens AllotmentHolder::spendable(const Account &account) const
{
    const auto now = m_clock.earliestNow(m_scheduler.now());
    if (account.possibleAllotments.empty() || !now)
        return {};
    return minSpendLimit(account.possibleAllotments, *now) - account.spent;
}

Base::Tokens AllotmentHolder::atHand(const Account &account) const
{
    return std::max(spendable(account), Base::Tokens()) + account.borrowed;
}

Base::Tokens AllotmentHolder::tokensAtHand(const Base::TeamId &team) const
{
    const auto it = m_accounts.find(team);
    return it == m_accounts.end() || m_isReturningAll ? Base::Tokens() : atHand(it->second);
}

void AllotmentHolder::hold(const Base::TeamId &team, Base::Tokens tokens,
    std::function<void(Base::Outcome<TokenHold>)> callback)
{
    const auto it = m_accounts.find(team);
    PendingHold pendingHold{tokens, std::move(callback), m_scheduler.now()};
    if (it == m_accounts.end()) {
        return pendingHold.callback(Base::Failure{
            Base::ErrorKind::BudgetUnavailable, "the team's budget is not known yet", {}});
    }
    auto &account = it->second;
    // While the table is unreachable, a large request that waits for growth delays no smaller one.
    const bool isFirst = account.pendingHolds.empty() || !canReportNow();
    if (isFirst && tryGrantHold(team, account, pendingHold))
        return;
    if (m_isReturningAll)
        return refuseHold(pendingHold, account);
    account.pendingHolds.push_back(std::move(pendingHold));
    startBorrowing(team, account);
}

bool AllotmentHolder::tryGrantHold(
    const Base::TeamId &team, Account &account, PendingHold &pendingHold)
{
    const auto own = std::clamp(spendable(account), Base::Tokens(), pendingHold.tokens);
    if (m_isReturningAll || own + account.borrowed < pendingHold.tokens)
        return false;
    const auto borrowed = pendingHold.tokens - own;
    account.spent += own;
    account.borrowed -= borrowed;
    account.borrowedInHolds += borrowed;
    ++m_counters.granted;
    pendingHold.callback(TokenHold{team, pendingHold.tokens, borrowed});
    return true;
}

void AllotmentHolder::settle(const TokenHold &hold, Base::Tokens used)
{
    const auto it = m_accounts.find(hold.team);
    if (it == m_accounts.end())
        return;
    const auto unused = hold.tokens - std::min(used, hold.tokens);
    const auto fromLoan = std::min(unused, hold.borrowed);
    it->second.borrowed += fromLoan;
    it->second.borrowedInHolds -= hold.borrowed;
    it->second.spent -= unused - fromLoan;
}

void AllotmentHolder::refuseHold(PendingHold &pendingHold, Account &account)
{
    const auto remainingBalance = m_isTableReachable && account.isRowRead
        ? std::optional(account.remainingBalance())
        : account.lenderReportedBalance;
    const bool isCertain = remainingBalance && *remainingBalance < pendingHold.tokens;
    ++(isCertain ? m_counters.refusedExhausted : m_counters.refusedUnavailable);
    if (isCertain) {
        return pendingHold.callback(Base::Failure{Base::ErrorKind::BudgetExhausted,
            describeShortage("the team's rest does not cover the request", pendingHold, account),
            {}});
    }
    pendingHold.callback(Base::Failure{Base::ErrorKind::BudgetUnavailable,
        describeShortage("the team's rest is not at hand", pendingHold, account),
        HeldElsewhereRetryAfter});
}

std::string AllotmentHolder::describeShortage(
    std::string_view reason, const PendingHold &pendingHold, const Account &account) const
{
    return fmt::format("{}: asked {}, here {}, not allotted {}, with others {}, table reached {}",
        reason, pendingHold.tokens.count(), spendable(account).count(),
        (account.prepaid - account.row.totalAllotted()).count(), account.row.unspent().count(),
        m_isTableReachable);
}

Base::Tokens AllotmentHolder::Account::remainingBalance() const
{
    return std::max(prepaid - row.totalAllotted(), Base::Tokens()) + row.unspent();
}

bool AllotmentHolder::Account::mayHoldAllotment() const
{
    return !std::ranges::all_of(possibleAllotments, &Allotment::isClosed);
}

bool AllotmentHolder::Account::isClosedInexactly() const
{
    const auto countedAsSpent =
        possibleAllotments.empty() ? Base::Tokens() : possibleAllotments.back().spent;
    return !mayHoldAllotment() && countedAsSpent != spent;
}

void AllotmentHolder::returnAll(std::function<void(bool)> callback)
{
    m_isReturningAll = true;
    m_returnAllCallback = std::move(callback);
    if (m_accounts.empty())
        return finishReport(true);
    // A stop may have less than a second for this, so it does not wait for a table that did not
    // reply to the last read.
    if (!m_isTableReachable && !m_isReadAnswered && !m_isReporting) {
        transferToPeers();
        return finishReport(false);
    }
    startReport();
}

} // namespace Carawaykeel::Budget
