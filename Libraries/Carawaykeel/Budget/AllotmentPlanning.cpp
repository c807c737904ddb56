// The part of AllotmentHolder that plans what a report writes.
#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Budget {

namespace {

constexpr double MillisecondsPerSecond = 1'000;

Base::Tokens tokensFor(double perSecond, Base::Milliseconds time)
{
    return Base::Tokens(static_cast<std::int64_t>(
        perSecond * static_cast<double>(time.count()) / MillisecondsPerSecond));
}

} // namespace

Platform::Transaction AllotmentHolder::planBatch()
{
    const auto serviceNow = *m_clock.earliestNow(m_scheduler.now());
    const auto limits = m_table.transactionLimits();
    Platform::Transaction transaction;
    m_writtenTeams.clear();
    m_closings.clear();
    while (!m_unwrittenTeams.empty() && limits.hasRoomIn(transaction)) {
        const auto team = m_unwrittenTeams.front();
        m_unwrittenTeams.pop_front();
        auto &account = m_accounts.at(team);
        if (!needsWrite(team, account))
            continue;
        if (m_isReturningAll && isReturned(account))
            continue;
        m_writtenTeams.push_back(team);
        account.hadPendingCommit = account.pendingCommitVersion.has_value();
        auto row = planRow(team, account, serviceNow);
        transaction.put(rowKey(team), Platform::encodeRow(row), account.version);
        account.pendingCommitVersion = account.version;
        account.row = std::move(row);
        const auto *own = account.row.find(m_self);
        // What the commit gives back may belong to others before its reply arrives.
        account.possibleAllotments.push_back(
            own ? *own : Allotment::closed(account.spent, serviceNow));
    }
    return transaction;
}

bool AllotmentHolder::isReturned(const Account &account)
{
    return !account.mayHoldAllotment() && !account.pendingCommitVersion
        && !account.isClosedInexactly();
}

AllotmentRow AllotmentHolder::planRow(
    const Base::TeamId &team, Account &account, Base::Milliseconds serviceNow)
{
    auto next = account.row;
    for (auto &[id, ended] : account.endedIncarnations) {
        if (ended.isClosed)
            continue;
        next.closeExactly(id, ended.spent, serviceNow);
        ended.isClosing = true;
    }
    const auto others = next.allotments;
    for (const auto &allotment : others) {
        // This process replaced that incarnation, so it had ended before the table service's clock
        // was read.
        if (allotment.holder.name != m_self.name || allotment.holder == m_self)
            continue;
        seedRecentUse(account, allotment);
        m_closings.push_back({team, allotment, next.closeByEstimate(allotment.holder, serviceNow)});
    }
    next.dropExpiredClosings(serviceNow);
    const bool keepsAllotment =
        !m_isReturningAll && (account.needsAllotment || isHolderOf(team, account));
    // The row already counts what this incarnation spent.
    if (!keepsAllotment && isReturned(account))
        return next;
    next.removeHolder(m_self, account.possibleAllotments.front().spent);
    if (!keepsAllotment) {
        next.addClosing(m_self, account.spent, serviceNow);
        return next;
    }
    const auto available = account.prepaid - next.totalAllotted() - account.spent;
    auto ownAllotment = planAllotment(account, std::max(available, Base::Tokens()));
    ownAllotment.reportedAt = serviceNow;
    next.allotments.push_back(ownAllotment);
    return next;
}

Allotment AllotmentHolder::planAllotment(const Account &account, Base::Tokens available) const
{
    auto needed = account.requestedByBorrowers;
    for (const auto &pendingHold : account.pendingHolds)
        needed += pendingHold.tokens;
    const auto divisor = isSmallFleet() ? m_policy.shareDivisor : m_policy.holderShareDivisor;
    const auto maxSize = std::min(available, std::max(needed, available / divisor));
    const auto floor = available / m_policy.floorDivisor;
    const auto perSecond = account.recentUse.tokensPerSecond();
    const auto immediate = needed + std::max(tokensFor(perSecond, m_policy.immediateTime), floor);
    const auto growth =
        std::max(tokensFor(perSecond * m_policy.growthFactor, m_policy.horizon), floor);
    Allotment allotment;
    allotment.holder = m_self;
    allotment.spent = account.spent;
    allotment.immediate = std::min(maxSize, immediate);
    allotment.deferred = std::min(maxSize - allotment.immediate, growth);
    allotment.growthDelay = m_policy.growthDelay;
    // Where the size is limited, growth ends sooner at the same rate.
    allotment.growthTime = std::max(
        m_policy.horizon * allotment.deferred.count() / std::max<std::int64_t>(growth.count(), 1),
        Base::Milliseconds(1));
    return allotment;
}

void AllotmentHolder::seedRecentUse(Account &account, const Allotment &predecessor) const
{
    const auto perSecond = static_cast<double>(predecessor.deferred.count()) * MillisecondsPerSecond
        / static_cast<double>(predecessor.growthTime.count());
    account.recentUse.seed(perSecond / m_policy.growthFactor);
}

} // namespace Carawaykeel::Budget
