#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Platform {

/// Stands before the table service and answers at once that it is not reached while it is down. One
/// call now and then goes through to probe, at growing intervals with jitter, so that a platform
/// that comes back is not met by the whole fleet at once.
class CircuitTable : public TableService
{
public:
    CircuitTable(TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random);

    void readRows(std::vector<std::string> keys, std::function<void(RowsReply)> answer) override;
    void readRange(std::string prefix, std::function<void(RangeReply)> answer) override;
    void commit(Transaction transaction, std::function<void(CommitReply)> answer) override;

    bool isOpen() const { return m_failures >= FailuresToOpen; }

private:
    static constexpr int FailuresToOpen = 5;

    bool mayCall();
    void note(bool isReached);

    TableService &m_table;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    Base::ExponentialBackoff m_backOff;
    int m_failures = 0;
    Base::Milliseconds m_nextProbe;
};

} // namespace Carawaykeel::Platform
