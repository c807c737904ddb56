#include <Carawaykeel/Budget/AllotmentHolder.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <fmt/core.h>
#include <random>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr std::string_view KeyPrefix = "allotment/";
constexpr double MillisecondsPerSecond = 1'000;
/// When a caller should ask again whose team's tokens are with other instances.
constexpr Base::Milliseconds ElsewhereDelay{500};

Base::Tokens tokensFor(double perSecond, Base::Milliseconds time)
{
    return Base::Tokens(static_cast<std::int64_t>(
        perSecond * static_cast<double>(time.count()) / MillisecondsPerSecond));
}

} // namespace

AllotmentHolder::AllotmentHolder(Base::InstanceId self, Base::Scheduler &scheduler,
    Platform::TableService &table, Peer::PeerLink &peers, PeerSource livePeers,
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

std::string AllotmentHolder::keyOf(const Base::TeamId &team)
{
    return std::string(KeyPrefix) + team.text();
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
            Base::ErrorKind::BudgetUnreachable, "the team's budget is not known yet", {}});
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
    it->second.spent -= unused - ofLoan;
}

void AllotmentHolder::reportSoon()
{
    if (std::exchange(m_isReportDue, true))
        return;
    // Requests of one turn share a transaction.
    m_scheduler.schedule(Base::Milliseconds(1), [this] { report(); });
}

void AllotmentHolder::report()
{
    m_isReportDue = false;
    if (m_isReporting)
        return;
    if (m_accounts.empty())
        return;
    m_isReporting = true;
    measureUse();
    m_table.readRange(std::string(KeyPrefix),
        [this](const Platform::RangeReply &reply) { onRows(reply, m_policy.conflictTries); });
}

void AllotmentHolder::measureUse()
{
    const auto now = m_scheduler.now();
    const auto passed = static_cast<double>((now - m_measuredAt).count()) / MillisecondsPerSecond;
    if (now - m_measuredAt < m_policy.reportInterval / 2)
        return;
    m_measuredAt = now;
    for (auto &[team, account] : m_accounts) {
        const auto used = std::max(account.spent - account.spentAtLastReport, Base::Tokens());
        account.spentAtLastReport = account.spent;
        const auto latest = static_cast<double>(used.count()) / passed;
        account.tokensPerSecond += m_policy.rateWeight * (latest - account.tokensPerSecond);
    }
}

void AllotmentHolder::onRows(const Platform::RangeReply &reply, int triesLeft)
{
    if (!reply.reached || !reply.serviceNow) {
        // Nothing was written, so what is held here is still nobody else's.
        if (m_isHandingBack)
            passOn();
        return finishReport(false);
    }
    m_clock.onAnswer(*reply.serviceNow, m_scheduler.now());
    std::map<std::string, const Platform::Row *> rows;
    for (const auto &row : reply.rows)
        rows.emplace(row.key, &row);
    for (auto &[team, account] : m_accounts) {
        const auto it = rows.find(keyOf(team));
        adopt(team, account, it == rows.end() ? nullptr : it->second);
    }
    write(triesLeft);
}

void AllotmentHolder::adopt(const Base::TeamId &team, Account &account, const Platform::Row *row)
{
    account.version = row ? row->version : Platform::AbsentVersion;
    account.row = row ? Platform::decodeRow<AllotmentRow>(row->value) : AllotmentRow();
    m_holdersSeen = std::max(m_holdersSeen, account.row.allotments.size());
    // While the row is as a commit without an answer expected it, that commit may still land.
    if (account.unanswered && *account.unanswered == account.version)
        return;
    account.unanswered.reset();
    account.possible.clear();
    for (const auto &allotment : account.row.allotments) {
        if (allotment.holder == m_self)
            account.possible.push_back(allotment);
    }
    // Without an allotment in the row nothing may be spent, whatever the next commit plans.
    if (account.possible.empty())
        account.possible.emplace_back();
    checkCover(team, account);
}

void AllotmentHolder::checkCover(const Base::TeamId &team, const Account &account)
{
    const auto whole = account.possible.back().whole();
    if (account.spent <= whole)
        return;
    ++m_counters.overdrafts;
    if (m_observer)
        m_observer->onOverdrawn(team, account.spent, whole, account.version);
}

void AllotmentHolder::write(int triesLeft)
{
    const auto serviceNow = *m_clock.earliestNow(m_scheduler.now());
    Platform::Transaction transaction;
    m_written.clear();
    m_closings.clear();
    for (auto &[team, account] : m_accounts) {
        m_written.push_back(team);
        auto row = plan(team, account, serviceNow);
        transaction.put(keyOf(team), Platform::encodeRow(row), account.version);
        account.unanswered = account.version;
        account.row = std::move(row);
        for (const auto &allotment : account.row.allotments) {
            if (allotment.holder == m_self)
                account.possible.push_back(allotment);
        }
    }
    m_committedAt = m_scheduler.now();
    m_table.commit(std::move(transaction),
        [this, triesLeft](const Platform::CommitReply &reply) { onCommitted(reply, triesLeft); });
}

AllotmentRow AllotmentHolder::plan(
    const Base::TeamId &team, Account &account, Base::Milliseconds serviceNow)
{
    auto next = account.row;
    std::erase_if(next.allotments, [&](const Allotment &own) { return own.holder == m_self; });
    for (const auto &[life, spent] : account.ended)
        next.closeExactly(life, spent);
    const auto others = next.allotments;
    for (const auto &allotment : others) {
        // This process runs in the place of that life, so that life had ended before the service's
        // clock was read.
        if (allotment.holder.name != m_self.name)
            continue;
        m_closings.push_back({team, allotment, next.closeByEstimate(allotment.holder, serviceNow)});
    }
    next.forgetEstimates(serviceNow);
    if (m_isHandingBack) {
        next.closed += account.spent;
        return next;
    }
    const auto available = account.prepaid - next.granted() - account.spent;
    auto mine = nextAllotment(account, std::max(available, Base::Tokens()));
    mine.reportedAt = serviceNow;
    next.allotments.push_back(mine);
    return next;
}

Allotment AllotmentHolder::nextAllotment(const Account &account, Base::Tokens available) const
{
    Base::Tokens needed;
    for (const auto &waiting : account.waiting)
        needed += waiting.tokens;
    const auto size = std::min(available, std::max(needed, available / m_policy.shareDivisor));
    const auto free = needed + (size - needed) / m_policy.openDivisor
        + tokensFor(account.tokensPerSecond, m_policy.openTime);
    Allotment allotment;
    allotment.holder = m_self;
    allotment.spent = account.spent;
    allotment.open = std::min(size, free);
    allotment.later = size - allotment.open;
    allotment.growthDelay = m_policy.growthDelay;
    allotment.growthTime = growthTimeFor(account, allotment.later);
    return allotment;
}

Base::Milliseconds AllotmentHolder::growthTimeFor(const Account &account, Base::Tokens later) const
{
    const auto perSecond = std::max(account.tokensPerSecond * m_policy.growthFactor, 1.0);
    const auto seconds = static_cast<double>(later.count()) / perSecond;
    const auto longest = static_cast<double>(m_policy.horizon.count()) / MillisecondsPerSecond;
    return std::clamp(Base::Milliseconds(static_cast<std::int64_t>(
                          std::min(seconds, longest) * MillisecondsPerSecond)),
        m_policy.shortestGrowth, m_policy.horizon);
}

void AllotmentHolder::onCommitted(const Platform::CommitReply &reply, int triesLeft)
{
    if (m_observer && reply.outcome != Platform::CommitOutcome::Committed)
        m_observer->onReportFailed(reply.outcome, triesLeft, m_scheduler.now() - m_committedAt);
    switch (reply.outcome) {
    case Platform::CommitOutcome::Committed:
        for (const auto &team : m_written) {
            auto &account = m_accounts.at(team);
            account.unanswered.reset();
            account.version = reply.version;
            if (!account.possible.empty())
                account.possible.erase(account.possible.begin(), std::prev(account.possible.end()));
        }
        for (const auto &closing : m_closings) {
            m_counters.tokensWrittenOff += (closing.counted - closing.allotment.spent).count();
            if (m_observer)
                m_observer->onClosed(closing.team, closing.allotment, closing.counted);
        }
        return finishReport(true);
    case Platform::CommitOutcome::Conflict:
    case Platform::CommitOutcome::Refused:
        ++(reply.outcome == Platform::CommitOutcome::Conflict ? m_counters.reportConflicts
                                                              : m_counters.reportsRefused);
        // It has not landed and never will.
        for (const auto &team : m_written) {
            auto &account = m_accounts.at(team);
            account.unanswered.reset();
            if (!account.possible.empty())
                account.possible.pop_back();
        }
        if (triesLeft <= 1)
            return finishReport(true);
        return tryAgain(triesLeft - 1);
    case Platform::CommitOutcome::Unknown:
        break;
    }
    finishReport(false);
}

void AllotmentHolder::tryAgain(int triesLeft)
{
    std::uniform_int_distribution<std::int64_t> pause(0, m_policy.conflictPause.count());
    m_scheduler.schedule(Base::Milliseconds(pause(m_random)), [this, triesLeft] {
        m_table.readRange(std::string(KeyPrefix),
            [this, triesLeft](const Platform::RangeReply &rows) { onRows(rows, triesLeft); });
    });
}

void AllotmentHolder::finishReport(bool isReached)
{
    m_isReporting = false;
    ++(isReached ? m_counters.reports : m_counters.reportsUnanswered);
    if (std::exchange(m_isTableReached, isReached) != isReached && m_observer)
        m_observer->onTableReached(isReached);
    if (!isReached)
        m_notBefore = m_scheduler.now() + m_policy.outagePause;
    if (m_isHandingBack) {
        auto answer = std::exchange(m_handBackAnswer, nullptr);
        if (answer)
            answer(isReached);
        return;
    }
    for (auto &[team, account] : m_accounts) {
        serveWaiting(team, account);
        if (!account.isBorrowing)
            refuseWaiting(account);
        if (isReached)
            returnLoans(account);
    }
}

void AllotmentHolder::refuse(Waiting &waiting, Account &account)
{
    const auto unallotted = account.prepaid - account.row.granted();
    const auto elsewhere = account.row.unspent();
    const bool isCertain =
        m_isTableReached && std::max(unallotted, Base::Tokens()) + elsewhere < waiting.tokens;
    ++(isCertain ? m_counters.refusedExhausted : m_counters.refusedUnreachable);
    if (isCertain) {
        return waiting.answer(Base::Failure{Base::ErrorKind::BudgetExhausted,
            describeShortage("the team's rest does not cover the request", waiting, account), {}});
    }
    waiting.answer(Base::Failure{Base::ErrorKind::BudgetUnreachable,
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

void AllotmentHolder::handBack(std::function<void(bool)> answer)
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
