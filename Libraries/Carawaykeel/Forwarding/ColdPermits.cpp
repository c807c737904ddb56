#include <Carawaykeel/Forwarding/ColdPermits.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Carawaykeel::Forwarding {

bool ColdPermits::isSelected(
    const Base::ServerName &server, std::span<const Base::InstanceId> liveMembers) const
{
    const auto seed = XXH64(server.text().data(), server.text().size(), 0);
    const Base::InstanceId *selected = nullptr;
    std::uint64_t highest = 0;
    for (const auto &member : liveMembers) {
        const auto &name = member.name.text();
        const auto hash = XXH64(name.data(), name.size(), seed);
        if (!selected || hash > highest) {
            selected = &member;
            highest = hash;
        }
    }
    return selected && *selected == m_self;
}

bool ColdPermits::isRenewalDue(const Permit &permit, Base::Milliseconds now)
{
    return permit.validUntil - now < RenewalLead
        && permit.validUntil < now + permit.remainingColdTime;
}

std::vector<ColdPermitTask> ColdPermits::update(
    ServerPool &serverPool, std::span<const Base::InstanceId> liveMembers, Base::Milliseconds now)
{
    std::vector<ColdPermitTask> tasks;
    std::set<Base::ServerName> needed;
    for (const auto &cold : serverPool.neededColdServers(now)) {
        needed.insert(cold.server.name);
        auto &permit = m_permits[cold.server.name];
        if (permit.server != cold.server) {
            // A call for the earlier incarnation may be pending; onTaskEnded() ignores it.
            permit = Permit();
            permit.server = cold.server;
        }
        permit.remainingColdTime = cold.remainingColdTime;
        permit.removals = 0;
    }
    for (auto it = m_permits.begin(); it != m_permits.end();) {
        auto &[name, permit] = *it;
        const bool isOurs = permit.mayHaveRow || isSelected(name, liveMembers);
        const bool isCallDue = !permit.isCallPending && permit.nextCallAt <= now;
        if (serverPool.isCold(permit.server, now)) {
            serverPool.coldServers().setPermit(permit.server, permit.validUntil);
            if (needed.contains(name) && isOurs && isCallDue && isRenewalDue(permit, now)) {
                permit.isCallPending = true;
                tasks.push_back({permit.server, true});
            }
        } else if (!permit.isCallPending && (permit.removals >= MaxRemovals || !isOurs)) {
            it = m_permits.erase(it);
            continue;
        } else if (isCallDue) {
            // Ends before the row is removed, so that no permit outlives its row.
            permit.validUntil = Base::Milliseconds();
            serverPool.coldServers().setPermit(permit.server, permit.validUntil);
            permit.isCallPending = true;
            ++permit.removals;
            tasks.push_back({permit.server, false});
        }
        ++it;
    }
    return tasks;
}

ColdPermitStep ColdPermits::decideClaim(
    const Permit &permit, const ColdPermitRead &read, Base::Milliseconds now) const
{
    ColdPermitStep step;
    if (!read.tableNow || read.isUnreadable || permit.remainingColdTime <= Base::Milliseconds())
        return step;
    if (read.row && read.row->holder != m_self) {
        const bool isOtherServer = read.row->serverStartedAt < permit.server.startedAt;
        // The holder may not know yet that its server was replaced.
        if (!isOtherServer || read.tableNow->count() < read.row->expiresAt) {
            step.otherHolder = read.row->holder;
            return step;
        }
    }
    if (read.row && read.row->serverStartedAt > permit.server.startedAt)
        return step;
    const auto coldUntil = now + permit.remainingColdTime + ValidityMargin;
    // The table's clock was read after the call was sent, so it is not ahead of this estimate.
    auto expiresAt = read.tableNow->count() + (coldUntil - read.sentAt).count();
    // A row never states an earlier end than this instance relies on.
    if (read.row && read.row->serverStartedAt == permit.server.startedAt)
        expiresAt = std::max(expiresAt, read.row->expiresAt);
    step.action = ColdPermitStep::Action::Write;
    step.row = {m_self, permit.server.startedAt, expiresAt};
    step.validUntil = coldUntil;
    return step;
}

ColdPermitStep ColdPermits::onRead(
    const ColdPermitTask &task, const ColdPermitRead &read, Base::Milliseconds now)
{
    const auto it = m_permits.find(task.server.name);
    if (it == m_permits.end() || it->second.server != task.server)
        return {};
    if (task.isClaim) {
        auto &permit = it->second;
        auto step = decideClaim(permit, read, now);
        permit.mayHaveRow = permit.mayHaveRow || step.action == ColdPermitStep::Action::Write;
        step.isNewRefusal = step.otherHolder && step.otherHolder != permit.refusedBy;
        permit.refusedBy = step.otherHolder;
        return step;
    }
    if (!read.row || read.row->serverStartedAt > task.server.startedAt)
        return {};
    ColdPermitStep step;
    const bool isExpired = read.tableNow && read.tableNow->count() >= read.row->expiresAt;
    if (read.row->holder == m_self || isExpired) {
        step.action = ColdPermitStep::Action::Remove;
    } else {
        step.otherHolder = read.row->holder;
    }
    return step;
}

void ColdPermits::onTaskEnded(
    const ColdPermitTask &task, const ColdPermitStep &step, bool isDone, Base::Milliseconds now)
{
    const auto it = m_permits.find(task.server.name);
    if (it == m_permits.end() || it->second.server != task.server)
        return;
    auto &permit = it->second;
    permit.isCallPending = false;
    permit.nextCallAt = now + RetryDelay;
    if (!isDone)
        return;
    if (task.isClaim) {
        permit.validUntil = std::max(permit.validUntil, step.validUntil);
    } else {
        permit.mayHaveRow = false;
        // The next update() forgets the server.
        permit.removals = MaxRemovals;
    }
}

std::size_t ColdPermits::heldCount(Base::Milliseconds now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_permits, [now](const auto &item) { return item.second.validUntil > now; }));
}

} // namespace Carawaykeel::Forwarding
