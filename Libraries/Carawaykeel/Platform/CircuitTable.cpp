#include <Carawaykeel/Platform/CircuitTable.h>

#include <utility>

namespace Carawaykeel::Platform {

namespace {

constexpr Base::Milliseconds SmallestProbePause{200};
constexpr Base::Milliseconds LargestProbePause{1'500};

} // namespace

CircuitTable::CircuitTable(
    TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_backOff(SmallestProbePause, LargestProbePause)
{
}

bool CircuitTable::mayCall()
{
    if (!isOpen())
        return true;
    if (m_scheduler.now() < m_nextProbe)
        return false;
    m_nextProbe = m_scheduler.now() + m_backOff.nextDelay(m_random);
    return true;
}

void CircuitTable::note(bool isReached)
{
    if (isReached) {
        m_failures = 0;
        m_backOff.reset();
        return;
    }
    if (++m_failures == FailuresToOpen)
        m_nextProbe = m_scheduler.now() + m_backOff.nextDelay(m_random);
}

void CircuitTable::readRows(std::vector<std::string> keys, std::function<void(RowsReply)> answer)
{
    if (!mayCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [answer = std::move(answer)] { answer({}); });
    }
    m_table.readRows(std::move(keys), [this, answer = std::move(answer)](RowsReply reply) {
        note(reply.isReachable);
        answer(std::move(reply));
    });
}

void CircuitTable::readRange(std::string prefix, std::function<void(RangeReply)> answer)
{
    if (!mayCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [answer = std::move(answer)] { answer({}); });
    }
    m_table.readRange(std::move(prefix), [this, answer = std::move(answer)](RangeReply reply) {
        note(reply.isReachable);
        answer(std::move(reply));
    });
}

void CircuitTable::commit(Transaction transaction, std::function<void(CommitReply)> answer)
{
    if (!mayCall()) {
        return m_scheduler.schedule(
            Base::Milliseconds(), [answer = std::move(answer)] { answer({}); });
    }
    m_table.commit(std::move(transaction), [this, answer = std::move(answer)](CommitReply reply) {
        note(reply.outcome != CommitOutcome::Unknown);
        answer(reply);
    });
}

} // namespace Carawaykeel::Platform
