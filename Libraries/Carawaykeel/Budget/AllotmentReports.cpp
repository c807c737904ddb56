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
/// Reads the whole range of rows if more than one row in this many is needed, and single rows
/// otherwise.
constexpr std::size_t RangeReadDivisor = 4;

} // namespace

std::string AllotmentHolder::rowKey(const Base::TeamId &team)
{
    return std::string(KeyPrefix) + team.text();
}

std::vector<Base::InstanceId> AllotmentHolder::holdersFor(const Base::TeamId &team) const
{
    auto instances = m_livePeers();
    instances.push_back(m_self);
    // A new incarnation knows few other instances; the rows name the earlier holders.
    if (!m_hasClosedPredecessors)
        addHoldersFromRows(instances);
    const auto count =
        instances.size() <= m_policy.smallFleetSize ? instances.size() : m_policy.holdersPerTeam;
    return selectHolders(team, std::move(instances), count);
}

void AllotmentHolder::addHoldersFromRows(std::vector<Base::InstanceId> &instances) const
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
    // An instance that knows few others must not become a holder of all teams.
    if (!account.row.find(m_self) && account.row.allotments.size() >= m_policy.smallFleetSize)
        return false;
    const auto holders = holdersFor(team);
    return std::ranges::find(holders, m_self) != holders.end();
}

bool AllotmentHolder::needsWrite(const Base::TeamId &team, const Account &account) const
{
    const bool hasEnded = std::ranges::any_of(
        account.endedIncarnations, [](const auto &ended) { return !ended.second.isClosed; });
    const bool hasPredecessor = std::ranges::any_of(account.row.allotments,
        [this](const Allotment &each) { return each.holder.name == m_self.name; });
    return account.pendingCommitVersion || hasEnded || hasPredecessor || account.mayHoldAllotment()
        || account.needsAllotment || account.isClosedInexactly() || isHolderOf(team, account);
}

void AllotmentHolder::scheduleReport()
{
    if (std::exchange(m_isReportScheduled, true))
        return;
    // Batches the requests of one millisecond into one transaction.
    m_scheduler.schedule(Base::Milliseconds(1), [this] { startReport(); });
}

void AllotmentHolder::startReport()
{
    m_isReportScheduled = false;
    if (m_isReporting)
        return;
    if (m_accounts.empty())
        return;
    m_isReportReturning = m_isReturningAll;
    if (m_isReturningAll)
        returnBorrowedTokens();
    measureUsage();
    m_reportedTeams.clear();
    for (auto &[team, account] : m_accounts) {
        account.isRowRead = !m_hasClosedPredecessors || needsWrite(team, account);
        if (account.isRowRead)
            m_reportedTeams.push_back(team);
    }
    if (m_reportedTeams.empty()) {
        for (auto &[team, account] : m_accounts)
            repayLoans(account);
        return m_isReturningAll ? finishReport(true) : void();
    }
    m_isReporting = true;
    putUnreportedTeamsFirst();
    m_unwrittenTeams.clear();
    m_hasSkippedBatch = false;
    readRows(m_policy.maxConflictTries);
}

void AllotmentHolder::putUnreportedTeamsFirst()
{
    // Otherwise failures of the first batches would keep the later ones from the table.
    if (const auto first = std::exchange(m_firstTeam, std::nullopt)) {
        std::rotate(m_reportedTeams.begin(),
            std::lower_bound(m_reportedTeams.begin(), m_reportedTeams.end(), *first),
            m_reportedTeams.end());
    }
}

void AllotmentHolder::readRows(int remainingTries)
{
    if (m_reportedTeams.size() * RangeReadDivisor > m_accounts.size()) {
        return m_table.readRange(
            std::string(KeyPrefix), [this, remainingTries](const Platform::RangeReply &reply) {
                onRowsRead(reply.isReachable, reply.serviceNow, reply.rows, remainingTries);
            });
    }
    std::vector<std::string> keys;
    for (const auto &team : m_reportedTeams)
        keys.push_back(rowKey(team));
    m_table.readRows(std::move(keys), [this, remainingTries](const Platform::RowsReply &reply) {
        std::vector<Platform::Row> rows;
        for (const auto &row : reply.rows) {
            if (row)
                rows.push_back(*row);
        }
        onRowsRead(reply.isReachable, reply.serviceNow, rows, remainingTries);
    });
}

void AllotmentHolder::measureUsage()
{
    const auto now = m_scheduler.now();
    const auto elapsed = now - m_usageMeasuredAt;
    if (elapsed < m_policy.reportInterval / 2)
        return;
    m_usageMeasuredAt = now;
    for (auto &[team, account] : m_accounts) {
        account.recentUse.record(account.spent - account.spentAtLastMeasurement, elapsed);
        account.spentAtLastMeasurement = account.spent;
    }
}

void AllotmentHolder::onRowsRead(bool isReachable, std::optional<Base::Milliseconds> serviceNow,
    const std::vector<Platform::Row> &rows, int remainingTries)
{
    m_isReadAnswered = isReachable && serviceNow;
    if (!m_isReadAnswered) {
        if (m_isReturningAll)
            transferToPeers();
        return finishReport(false);
    }
    m_clock.onReply(*serviceNow, m_scheduler.now());
    std::map<std::string, const Platform::Row *> rowsByKey;
    for (const auto &row : rows)
        rowsByKey.emplace(row.key, &row);
    for (const auto &team : m_reportedTeams) {
        const auto it = rowsByKey.find(rowKey(team));
        adoptRow(
            team, m_accounts.at(team), it == rowsByKey.end() ? nullptr : it->second, *serviceNow);
    }
    m_unwrittenTeams.insert(
        m_unwrittenTeams.begin(), m_reportedTeams.begin(), m_reportedTeams.end());
    commitBatch(remainingTries);
}

void AllotmentHolder::adoptRow(const Base::TeamId &team, Account &account, const Platform::Row *row,
    Base::Milliseconds serviceNow)
{
    account.version = row ? row->version : Platform::AbsentVersion;
    account.row = row ? Platform::decodeRow<AllotmentRow>(row->value) : AllotmentRow();
    m_maxHoldersSeen = std::max(m_maxHoldersSeen, account.row.allotments.size());
    // While the row still has the version that the pending commit expects, that commit may take
    // effect.
    if (account.pendingCommitVersion && *account.pendingCommitVersion == account.version)
        return;
    account.pendingCommitVersion.reset();
    account.possibleAllotments = {ownPartOf(account, serviceNow)};
    checkOverdraft(team, account);
}

Allotment AllotmentHolder::ownPartOf(const Account &account, Base::Milliseconds serviceNow) const
{
    if (const auto *own = account.row.find(m_self))
        return *own;
    if (const auto *closing = account.row.findClosing(m_self))
        return Allotment::closed(closing->countedAsSpent, closing->closedAt);
    if (account.possibleAllotments.empty())
        return Allotment::closed({}, serviceNow);
    // The allotment was closed, too long ago to tell at which amount.
    if (!account.possibleAllotments.front().isClosed())
        return Allotment::closed(account.spent, serviceNow);
    // A closing that the row would still name was not written. Of the others any may have been, and
    // only the lowest amount returns no token twice.
    auto lowest = account.possibleAllotments.front();
    for (const auto &each : account.possibleAllotments) {
        const bool mayBeForgotten =
            each.isClosed() && !AllotmentRow::isRetained(each.reportedAt, serviceNow);
        if (mayBeForgotten && each.spent < lowest.spent)
            lowest = each;
    }
    return lowest;
}

void AllotmentHolder::checkOverdraft(const Base::TeamId &team, const Account &account)
{
    const auto total = account.possibleAllotments.back().total();
    if (account.spent <= total)
        return;
    ++m_counters.overdrafts;
    if (m_observer)
        m_observer->onOverdrawn(team, account.spent, total, account.version);
}

void AllotmentHolder::commitBatch(int remainingTries)
{
    auto transaction = planBatch();
    if (m_writtenTeams.empty()) {
        m_hasClosedPredecessors = m_hasClosedPredecessors || !m_hasSkippedBatch;
        return finishReport(true);
    }
    m_commitSentAt = m_scheduler.now();
    m_table.commit(
        std::move(transaction), [this, remainingTries](const Platform::CommitReply &reply) {
            onCommitReply(reply, remainingTries);
        });
}

void AllotmentHolder::onCommitReply(const Platform::CommitReply &reply, int remainingTries)
{
    if (m_observer && reply.outcome != Platform::CommitOutcome::Committed) {
        m_observer->onReportFailed(
            reply.outcome, remainingTries, m_scheduler.now() - m_commitSentAt);
    }
    switch (reply.outcome) {
    case Platform::CommitOutcome::Committed:
        for (const auto &team : m_writtenTeams)
            m_accounts.at(team).version = reply.version;
        onCommitApplied();
        return commitNextBatch();
    case Platform::CommitOutcome::Conflict:
    case Platform::CommitOutcome::Refused:
        ++(reply.outcome == Platform::CommitOutcome::Conflict ? m_counters.reportConflicts
                                                              : m_counters.reportsRefused);
        onCommitRejected();
        if (remainingTries <= 1 && !hasToReturn(reply.outcome)) {
            m_hasSkippedBatch = true;
            return commitNextBatch();
        }
        return retryBatch(std::max(remainingTries - 1, 1));
    case Platform::CommitOutcome::Unknown:
        m_isReturnUnconfirmed = m_isReturnUnconfirmed || m_isReportReturning;
        break;
    }
    if (!m_unwrittenTeams.empty())
        m_firstTeam = m_unwrittenTeams.front();
    finishReport(false);
}

bool AllotmentHolder::hasToReturn(Platform::CommitOutcome outcome) const
{
    // Conflicts end as others go on; the stop is bounded by its own deadline.
    return m_isReportReturning && outcome == Platform::CommitOutcome::Conflict;
}

void AllotmentHolder::commitNextBatch()
{
    for (const auto &team : m_writtenTeams)
        grantPendingHolds(team, m_accounts.at(team));
    commitBatch(m_policy.maxConflictTries);
}

void AllotmentHolder::onCommitApplied()
{
    for (const auto &team : m_writtenTeams) {
        auto &account = m_accounts.at(team);
        account.pendingCommitVersion.reset();
        account.possibleAllotments.erase(
            account.possibleAllotments.begin(), std::prev(account.possibleAllotments.end()));
        account.requestedByBorrowers = Base::Tokens();
        for (auto &[id, ended] : account.endedIncarnations)
            ended.isClosed = ended.isClosed || ended.isClosing;
    }
    for (const auto &closing : m_closings) {
        m_counters.tokensWrittenOff += (closing.countedAsSpent - closing.allotment.spent).count();
        if (m_observer)
            m_observer->onAllotmentClosed(closing.team, closing.allotment, closing.countedAsSpent);
    }
}

void AllotmentHolder::onCommitRejected()
{
    for (const auto &team : m_writtenTeams) {
        auto &account = m_accounts.at(team);
        account.possibleAllotments.pop_back();
        for (auto &[id, ended] : account.endedIncarnations)
            ended.isClosing = false;
        // This reply does not resolve an earlier commit that is still pending.
        if (account.hadPendingCommit)
            continue;
        account.pendingCommitVersion.reset();
    }
}

void AllotmentHolder::retryBatch(int remainingTries)
{
    m_reportedTeams = m_writtenTeams;
    std::uniform_int_distribution<std::int64_t> delay(0, m_policy.maxConflictRetryDelay.count());
    m_scheduler.schedule(
        Base::Milliseconds(delay(m_random)), [this, remainingTries] { readRows(remainingTries); });
}

void AllotmentHolder::finishReport(bool isReachable)
{
    m_isReporting = false;
    ++(isReachable ? m_counters.reports : m_counters.reportsWithoutReply);
    if (std::exchange(m_isTableReachable, isReachable) != isReachable && m_observer)
        m_observer->onTableReachabilityChanged(isReachable);
    if (!isReachable)
        m_tableRetryAt = m_scheduler.now() + m_policy.unreachableRetryDelay;
    // The report began before the stop, so what it wrote keeps the allotments.
    if (m_isReturningAll && m_isReadAnswered && !m_isReportReturning && !m_accounts.empty())
        return startReport();
    if (m_isReturningAll && !isReachable && m_isReturnUnconfirmed && m_returnAllCallback) {
        return m_scheduler.schedule(m_policy.returnRetryDelay, [this] { startReport(); });
    }
    if (m_isReturningAll) {
        auto callback = std::exchange(m_returnAllCallback, nullptr);
        if (callback)
            callback(isReachable);
        return;
    }
    for (auto &[team, account] : m_accounts) {
        grantPendingHolds(team, account);
        account.needsAllotment = false;
        if (!account.isBorrowing && isReachable) {
            refusePendingHolds(account);
        } else if (!account.isBorrowing) {
            waitForGrowth(team, account);
        }
        if (isReachable)
            repayLoans(account);
    }
}

} // namespace Carawaykeel::Budget
