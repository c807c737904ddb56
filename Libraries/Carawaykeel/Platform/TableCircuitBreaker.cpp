#include <Carawaykeel/Platform/TableCircuitBreaker.h>

#include <utility>

namespace Carawaykeel::Platform {

namespace {

constexpr Base::Milliseconds MinProbeDelay{200};
constexpr Base::Milliseconds MaxProbeDelay{1'500};

} // namespace

TableCircuitBreaker::TableCircuitBreaker(
    TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_probeBackoff(MinProbeDelay, MaxProbeDelay)
{
}

bool TableCircuitBreaker::tryAdmitCall()
{
    if (!isOpen())
        return true;
    if (m_scheduler.now() < m_nextProbeTime)
        return false;
    m_nextProbeTime = m_scheduler.now() + m_probeBackoff.nextDelay(m_random);
    return true;
}

void TableCircuitBreaker::recordResult(bool isReachable)
{
    if (isReachable) {
        m_consecutiveFailures = 0;
        m_probeBackoff.reset();
        return;
    }
    if (++m_consecutiveFailures == FailuresToOpen)
        m_nextProbeTime = m_scheduler.now() + m_probeBackoff.nextDelay(m_random);
}

void TableCircuitBreaker::readRows(
    std::vector<std::string> keys, std::function<void(RowsReply)> callback)
{
    if (!tryAdmitCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [callback = std::move(callback)] { callback({}); });
    }
    m_table.readRows(std::move(keys), [this, callback = std::move(callback)](RowsReply reply) {
        recordResult(reply.isReachable);
        callback(std::move(reply));
    });
}

void TableCircuitBreaker::readRange(std::string prefix, std::function<void(RangeReply)> callback)
{
    if (!tryAdmitCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [callback = std::move(callback)] { callback({}); });
    }
    m_table.readRange(std::move(prefix), [this, callback = std::move(callback)](RangeReply reply) {
        recordResult(reply.isReachable);
        callback(std::move(reply));
    });
}

void TableCircuitBreaker::commit(Transaction transaction, std::function<void(CommitReply)> callback)
{
    if (!tryAdmitCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [callback = std::move(callback)] { callback({}); });
    }
    m_table.commit(
        std::move(transaction), [this, callback = std::move(callback)](CommitReply reply) {
            recordResult(reply.outcome != CommitOutcome::Unknown);
            callback(reply);
        });
}

} // namespace Carawaykeel::Platform
