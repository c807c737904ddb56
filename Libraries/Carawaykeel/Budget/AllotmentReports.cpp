// The part of AllotmentHolder that reports to the table.
#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Carawaykeel/Budget/TeamHolders.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr std::string_view KeyPrefix = "allotment/";
constexpr double MillisecondsPerSecond = 1'000;
/// Rows are read one by one while fewer than one part in this many are wanted.
constexpr std::size_t RangePart = 4;

Base::Tokens tokensFor(double perSecond, Base::Milliseconds time)
{
    return Base::Tokens(static_cast<std::int64_t>(
        perSecond * static_cast<double>(time.count()) / MillisecondsPerSecond));
}

} // namespace

std::string AllotmentHolder::keyOf(const Base::TeamId &team)
{
    return std::string(KeyPrefix) + team.text();
}

std::vector<Base::InstanceId> AllotmentHolder::holdersOf(const Base::TeamId &team) const
{
    auto instances = m_livePeers();
    instances.push_back(m_self);
    // A new life has met few others; the rows name those that were there before it.
    if (!m_hasClosedAll)
        addHoldersInRows(instances);
    const auto count =
        instances.size() <= m_policy.smallFleetSize ? instances.size() : m_policy.holdersPerTeam;
    return chooseHolders(team, std::move(instances), count);
}

void AllotmentHolder::addHoldersInRows(std::vector<Base::InstanceId> &instances) const
{
    std::set<Base::InstanceName> names;
    for (const auto &instance : instances)
        names.insert(instance.name);
    for (const auto &[team, account] : m_accounts) {
        for (const auto &allotment : account.row.allotments) {
            if (names.insert(allotment.holder.name).second)
                instances.push_back(allotment.holder);
        }
    }
}

bool AllotmentHolder::isHolderOf(const Base::TeamId &team, const Account &account) const
{
    // An instance that knows few others must not join the holders of all teams.
    if (!account.row.find(m_self) && account.row.allotments.size() >= m_policy.smallFleetSize)
        return false;
    const auto holders = holdersOf(team);
    return std::ranges::find(holders, m_self) != holders.end();
}

bool AllotmentHolder::mustWrite(const Base::TeamId &team, const Account &account) const
{
    const bool hasOpenCommit = account.unanswered || account.givenUp;
    const bool hasEnded =
        std::ranges::any_of(account.ended, [](const auto &life) { return !life.second.isClosed; });
    // An allotment of this life or an earlier one.
    const bool isInRow = std::ranges::any_of(account.row.allotments,
        [this](const Allotment &each) { return each.holder.name == m_self.name; });
    return hasOpenCommit || hasEnded || isInRow || account.wantsTable
        || account.spent != Base::Tokens() || isHolderOf(team, account);
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
    measureUse();
    m_reported.clear();
    for (auto &[team, account] : m_accounts) {
        account.isRead = !m_hasClosedAll || mustWrite(team, account);
        if (account.isRead)
            m_reported.push_back(team);
    }
    if (m_reported.empty()) {
        for (auto &[team, account] : m_accounts)
            returnLoans(account);
        return m_isHandingBack ? finishReport(true) : void();
    }
    m_isReporting = true;
    readRows(m_policy.conflictTries);
}

void AllotmentHolder::readRows(int triesLeft)
{
    if (m_reported.size() * RangePart > m_accounts.size()) {
        return m_table.readRange(
            std::string(KeyPrefix), [this, triesLeft](const Platform::RangeReply &reply) {
                onRows(reply.isReachable, reply.serviceNow, reply.rows, triesLeft);
            });
    }
    std::vector<std::string> keys;
    for (const auto &team : m_reported)
        keys.push_back(keyOf(team));
    m_table.readRows(std::move(keys), [this, triesLeft](const Platform::RowsReply &reply) {
        std::vector<Platform::Row> rows;
        for (const auto &row : reply.rows) {
            if (row)
                rows.push_back(*row);
        }
        onRows(reply.isReachable, reply.serviceNow, rows, triesLeft);
    });
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

void AllotmentHolder::onRows(bool isReached, std::optional<Base::Milliseconds> serviceNow,
    const std::vector<Platform::Row> &rows, int triesLeft)
{
    if (!isReached || !serviceNow) {
        // Nothing was written, so what is held here is still nobody else's.
        if (m_isHandingBack)
            passOn();
        return finishReport(false);
    }
    m_clock.onAnswer(*serviceNow, m_scheduler.now());
    std::map<std::string, const Platform::Row *> rowsByKey;
    for (const auto &row : rows)
        rowsByKey.emplace(row.key, &row);
    for (const auto &team : m_reported) {
        const auto it = rowsByKey.find(keyOf(team));
        adopt(team, m_accounts.at(team), it == rowsByKey.end() ? nullptr : it->second);
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
    // Without an allotment in the row nothing may be spent, whatever the next commit plans.
    const auto *own = account.row.find(m_self);
    account.possible = {own ? *own : Allotment()};
    // Only this life takes its allotment out of a row, so without one the commit has landed.
    if (!own)
        finishGivingUp(account);
    account.givenUp.reset();
    checkCover(team, account);
}

void AllotmentHolder::finishGivingUp(Account &account)
{
    const auto counted = std::exchange(account.givenUp, std::nullopt).value_or(Base::Tokens());
    account.spent -= counted;
    account.spentAtLastReport -= counted;
}

void AllotmentHolder::checkCover(const Base::TeamId &team, const Account &account)
{
    const auto whole = account.possible.back().total();
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
    for (const auto &team : m_reported) {
        auto &account = m_accounts.at(team);
        if (!mustWrite(team, account))
            continue;
        m_written.push_back(team);
        account.wasUnanswered = account.unanswered.has_value();
        auto row = plan(team, account, serviceNow);
        transaction.put(keyOf(team), Platform::encodeRow(row), account.version);
        account.unanswered = account.version;
        account.row = std::move(row);
        const auto *own = account.row.find(m_self);
        account.possible.push_back(own ? *own : Allotment());
    }
    if (m_written.empty()) {
        m_hasClosedAll = true;
        return finishReport(true);
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
    for (auto &[id, life] : account.ended) {
        if (life.isClosed)
            continue;
        next.closeExactly(id, life.spent);
        life.isPlanned = true;
    }
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
    if (planGivingUp(team, account, next))
        return next;
    const auto available = account.prepaid - next.granted() - account.spent;
    auto mine = nextAllotment(account, std::max(available, Base::Tokens()));
    mine.reportedAt = serviceNow;
    next.allotments.push_back(mine);
    return next;
}

bool AllotmentHolder::planGivingUp(
    const Base::TeamId &team, Account &account, AllotmentRow &next) const
{
    // While a commit is open the next one is of its kind, so that the row tells whether it landed.
    const bool holds =
        account.wasUnanswered ? !account.givenUp : account.wantsTable || isHolderOf(team, account);
    if (holds)
        return false;
    if (!account.givenUp)
        account.givenUp = account.spent;
    next.closed += *account.givenUp;
    return true;
}

Allotment AllotmentHolder::nextAllotment(const Account &account, Base::Tokens available) const
{
    auto needed = account.asked;
    for (const auto &waiting : account.waiting)
        needed += waiting.tokens;
    const auto divisor = everyoneHolds() ? m_policy.shareDivisor : m_policy.holderShareDivisor;
    const auto size = std::min(available, std::max(needed, available / divisor));
    const auto free = needed + (size - needed) / m_policy.immediateDivisor
        + tokensFor(account.tokensPerSecond, m_policy.immediateTime);
    Allotment allotment;
    allotment.holder = m_self;
    allotment.spent = account.spent;
    allotment.immediate = std::min(size, free);
    allotment.deferred = size - allotment.immediate;
    allotment.growthDelay = m_policy.growthDelay;
    allotment.growthTime = growthTimeFor(account, allotment.deferred);
    return allotment;
}

Base::Milliseconds AllotmentHolder::growthTimeFor(const Account &account, Base::Tokens later) const
{
    const auto perSecond = std::max(account.tokensPerSecond * m_policy.growthFactor, 1.0);
    const auto seconds = static_cast<double>(later.count()) / perSecond;
    const auto longest = static_cast<double>(m_policy.horizon.count()) / MillisecondsPerSecond;
    return std::clamp(Base::Milliseconds(static_cast<std::int64_t>(
                          std::min(seconds, longest) * MillisecondsPerSecond)),
        m_policy.minGrowthTime, m_policy.horizon);
}

void AllotmentHolder::onCommitted(const Platform::CommitReply &reply, int triesLeft)
{
    if (m_observer && reply.outcome != Platform::CommitOutcome::Committed)
        m_observer->onReportFailed(reply.outcome, triesLeft, m_scheduler.now() - m_committedAt);
    switch (reply.outcome) {
    case Platform::CommitOutcome::Committed:
        for (const auto &team : m_written)
            m_accounts.at(team).version = reply.version;
        onLanded();
        return finishReport(true);
    case Platform::CommitOutcome::Conflict:
    case Platform::CommitOutcome::Refused:
        ++(reply.outcome == Platform::CommitOutcome::Conflict ? m_counters.reportConflicts
                                                              : m_counters.reportsRefused);
        onNotLanded();
        if (triesLeft <= 1)
            return finishReport(true);
        return tryAgain(triesLeft - 1);
    case Platform::CommitOutcome::Unknown:
        break;
    }
    finishReport(false);
}

void AllotmentHolder::onLanded()
{
    for (const auto &team : m_written) {
        auto &account = m_accounts.at(team);
        account.unanswered.reset();
        account.possible.erase(account.possible.begin(), std::prev(account.possible.end()));
        account.asked = Base::Tokens();
        finishGivingUp(account);
        for (auto &[id, life] : account.ended)
            life.isClosed = life.isClosed || life.isPlanned;
    }
    for (const auto &closing : m_closings) {
        m_counters.tokensWrittenOff += (closing.counted - closing.allotment.spent).count();
        if (m_observer)
            m_observer->onAllotmentClosed(closing.team, closing.allotment, closing.counted);
    }
    m_hasClosedAll = true;
}

void AllotmentHolder::onNotLanded()
{
    for (const auto &team : m_written) {
        auto &account = m_accounts.at(team);
        account.possible.pop_back();
        for (auto &[id, life] : account.ended)
            life.isPlanned = false;
        // This answer says nothing of an earlier commit that is still open.
        if (account.wasUnanswered)
            continue;
        account.unanswered.reset();
        account.givenUp.reset();
    }
}

void AllotmentHolder::tryAgain(int triesLeft)
{
    std::uniform_int_distribution<std::int64_t> pause(0, m_policy.conflictPause.count());
    m_scheduler.schedule(
        Base::Milliseconds(pause(m_random)), [this, triesLeft] { readRows(triesLeft); });
}

void AllotmentHolder::finishReport(bool isReached)
{
    m_isReporting = false;
    ++(isReached ? m_counters.reports : m_counters.reportsUnanswered);
    if (std::exchange(m_isTableReached, isReached) != isReached && m_observer)
        m_observer->onTableReachabilityChanged(isReached);
    if (!isReached)
        m_notBefore = m_scheduler.now() + m_policy.unreachableRetryDelay;
    if (m_isHandingBack) {
        auto answer = std::exchange(m_handBackAnswer, nullptr);
        if (answer)
            answer(isReached);
        return;
    }
    for (auto &[team, account] : m_accounts) {
        serveWaiting(team, account);
        account.wantsTable = false;
        if (!account.isBorrowing)
            refuseWaiting(account);
        if (isReached)
            returnLoans(account);
    }
}

} // namespace Carawaykeel::Budget
