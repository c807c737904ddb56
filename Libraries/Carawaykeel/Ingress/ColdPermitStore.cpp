#include <Carawaykeel/Ingress/ColdPermitStore.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <string>
#include <string_view>
#include <utility>

namespace Carawaykeel::Ingress {

using Forwarding::ColdPermitRow;
using Forwarding::ColdPermitStep;
using Forwarding::ColdPermitTask;
using Logging::LogEvent;
using Logging::LogFields;

namespace {

constexpr std::string_view KeyPrefix = "cold/";
constexpr Base::Milliseconds LineInterval{1'000};

std::string rowKey(const ColdPermitTask &task)
{
    return std::string(KeyPrefix) + task.server.name.text();
}

} // namespace

ColdPermitStore::ColdPermitStore(Base::InstanceId self, Platform::TableService &table,
    Base::Scheduler &scheduler, Forwarding::ServerPool &serverPool, LiveMembers liveMembers,
    const Logging::Logger &log)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_serverPool(serverPool)
    , m_liveMembers(std::move(liveMembers))
    , m_log(log)
    , m_permits(std::move(self))
{
}

void ColdPermitStore::start()
{
    poll();
}

void ColdPermitStore::poll()
{
    logTransitions();
    const auto now = m_scheduler.now();
    // The list of members is long in a large fleet, and mostly no server is cold.
    if (!m_permits.isIdle(m_serverPool, now)) {
        for (const auto &task : m_permits.update(m_serverPool, m_liveMembers(), now))
            run(task);
    }
    m_scheduler.schedule(PollInterval, [this] { poll(); });
}

void ColdPermitStore::logTransitions()
{
    const auto now = m_scheduler.now();
    if (now - m_linesCountedSince >= LineInterval) {
        m_linesCountedSince = now;
        m_transitionLines = 0;
    }
    for (const auto &transition : m_serverPool.coldServers().takeTransitions(now)) {
        if (++m_transitionLines > MaxTransitionLines)
            continue;
        LogFields fields;
        fields.add("server", transition.server.name.text())
            .add("server_incarnation", transition.server.startedAt);
        if (transition.isCold) {
            fields.add("cause", Forwarding::nameOf(transition.cause))
                .add("ms", transition.remaining.count());
        }
        m_log.info(transition.isCold ? LogEvent::ServerCold : LogEvent::ServerWarm, fields);
    }
}

void ColdPermitStore::run(const ColdPermitTask &task)
{
    m_table.readRows(
        {rowKey(task)}, [this, task, sentAt = m_scheduler.now()](const Platform::RowsReply &reply) {
            onRead(task, reply, sentAt);
        });
}

void ColdPermitStore::onRead(
    const ColdPermitTask &task, const Platform::RowsReply &reply, Base::Milliseconds sentAt)
{
    if (!reply.isReachable)
        return end(task, {}, false);
    const auto &stored = reply.rows.front();
    Forwarding::ColdPermitRead read{{}, false, reply.serviceNow, sentAt};
    if (stored) {
        auto outcome = Base::toOutcome<ColdPermitRow>(
            [&] { return Platform::tryDecodeRow<ColdPermitRow>(stored->value); });
        if (auto *row = std::get_if<ColdPermitRow>(&outcome)) {
            read.row = std::move(*row);
        } else {
            read.isUnreadable = true;
        }
    }
    const auto step = m_permits.onRead(task, read, m_scheduler.now());
    const auto version = stored ? stored->version : Platform::AbsentVersion;
    Platform::Transaction transaction;
    switch (step.action) {
    case ColdPermitStep::Action::None:
        // A row that is to be removed is gone if nobody holds it.
        return end(task, step, !task.isClaim && !step.otherHolder && !read.isUnreadable);
    case ColdPermitStep::Action::Write:
        transaction.put(rowKey(task), Platform::encodeRow(step.row), version);
        break;
    case ColdPermitStep::Action::Remove:
        transaction.remove(rowKey(task), version);
        break;
    }
    m_table.commit(std::move(transaction), [this, task, step](const Platform::CommitReply &commit) {
        end(task, step, commit.outcome == Platform::CommitOutcome::Committed);
    });
}

void ColdPermitStore::end(const ColdPermitTask &task, const ColdPermitStep &step, bool isDone)
{
    const auto now = m_scheduler.now();
    m_permits.onTaskEnded(task, step, isDone, now);
    const bool isGranted = task.isClaim && isDone;
    const bool isRemoved = step.action == ColdPermitStep::Action::Remove && isDone;
    if (!isGranted && !isRemoved && !step.isNewRefusal)
        return;
    LogFields fields;
    fields.add("server", task.server.name.text())
        .add("server_incarnation", task.server.startedAt)
        .add("result",
            isGranted       ? "granted"
                : isRemoved ? "removed"
                            : "refused");
    if (isGranted)
        fields.add("ms", (step.validUntil - now).count());
    if (step.isNewRefusal)
        fields.add("holder", step.otherHolder->name.text());
    m_log.info(LogEvent::ColdPermit, fields);
}

} // namespace Carawaykeel::Ingress
