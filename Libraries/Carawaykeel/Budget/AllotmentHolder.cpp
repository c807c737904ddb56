#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

/// When a caller should ask again whose team's tokens are with other instances.
constexpr Base::Milliseconds ElsewhereDelay{500};

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
    , m_measuredAt(scheduler.now())
{
}

void AllotmentHolder::start()
{
    report();
    m_scheduler.schedule(m_policy.reportInterval, [this] { start(); });
}

void AllotmentHolder::setPrepaid(const std::vector<PrepaidTokens> &prepaid)
{
    for (auto &[team, account] : m_accounts)
        account.prepaid = Base::Tokens();
    bool isNew = false;
    for (const auto &each : prepaid) {
        const auto [it, isAdded] = m_accounts.try_emplace(each.team);
        isNew = isNew || isAdded || it->second.prepaid != each.tokens;
        it->second.prepaid = each.tokens;
    }
    if (isNew)
        reportSoon();
}

Base::Tokens AllotmentHolder::spendable(const Account &account) const
{
    const auto now = m_clock.earliestNow(m_scheduler.now());
    if (account.possible.empty() || !now)
        return {};
    return smallestLimit(account.possible, *now) - account.spent;
}

void AllotmentHolder::hold(const Base::TeamId &team, Base::Tokens tokens,
    std::function<void(Base::Outcome<TokenHold>)> answer)
{
    const auto it = m_accounts.find(team);
    Waiting waiting{tokens, std::move(answer)};
    if (it == m_accounts.end()) {
        return waiting.answer(Base::Failure{
            Base::ErrorKind::BudgetUnavailable, "the team's budget is not known yet", {}});
    }
    auto &account = it->second;
    if (account.waiting.empty() && tryServe(team, account, waiting))
        return;
    if (m_isHandingBack)
        return refuse(waiting, account);
    account.waiting.push_back(std::move(waiting));
    borrow(team, account);
}

bool AllotmentHolder::tryServe(const Base::TeamId &team, Account &account, Waiting &waiting)
{
    const auto own = std::clamp(spendable(account), Base::Tokens(), waiting.tokens);
    if (m_isHandingBack || own + account.borrowed < waiting.tokens)
        return false;
    const auto borrowed = waiting.tokens - own;
    account.spent += own;
    account.borrowed -= borrowed;
    account.borrowedInUse += borrowed;
    ++m_counters.granted;
    waiting.answer(TokenHold{team, waiting.tokens, borrowed});
    return true;
}

void AllotmentHolder::settle(const TokenHold &hold, Base::Tokens used)
{
    const auto it = m_accounts.find(hold.team);
    if (it == m_accounts.end())
        return;
    const auto unused = hold.tokens - std::min(used, hold.tokens);
    const auto ofLoan = std::min(unused, hold.borrowed);
    it->second.borrowed += ofLoan;
    it->second.borrowedInUse -= hold.borrowed;
    it->second.spent -= unused - ofLoan;
}

void AllotmentHolder::refuse(Waiting &waiting, Account &account)
{
    const auto rest =
        m_isTableReached && account.isRead ? std::optional(account.rest()) : account.restTold;
    const bool isCertain = rest && *rest < waiting.tokens;
    ++(isCertain ? m_counters.refusedExhausted : m_counters.refusedUnreachable);
    if (isCertain) {
        return waiting.answer(Base::Failure{Base::ErrorKind::BudgetExhausted,
            describeShortage("the team's rest does not cover the request", waiting, account), {}});
    }
    waiting.answer(Base::Failure{Base::ErrorKind::BudgetUnavailable,
        describeShortage("the team's rest is not at hand", waiting, account), ElsewhereDelay});
}

std::string AllotmentHolder::describeShortage(
    std::string_view reason, const Waiting &waiting, const Account &account) const
{
    return fmt::format("{}: asked {}, here {}, not allotted {}, with others {}, table reached {}",
        reason, waiting.tokens.count(), spendable(account).count(),
        (account.prepaid - account.row.granted()).count(), account.row.unspent().count(),
        m_isTableReached);
}

Base::Tokens AllotmentHolder::Account::rest() const
{
    return std::max(prepaid - row.granted(), Base::Tokens()) + row.unspent();
}

void AllotmentHolder::returnAll(std::function<void(bool)> answer)
{
    m_isHandingBack = true;
    m_handBackAnswer = std::move(answer);
    if (m_accounts.empty())
        return finishReport(true);
    // There is no time to wait for a table that was just not there.
    if (!m_isTableReached && !m_isReporting) {
        passOn();
        return finishReport(false);
    }
    report();
}

} // namespace Carawaykeel::Budget
