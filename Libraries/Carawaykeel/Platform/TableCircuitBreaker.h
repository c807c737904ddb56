#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Platform {

/// A circuit breaker for the table service: while the service is unreachable, calls fail at once.
/// Single calls pass through as probes, at growing intervals with jitter, so that a recovering
/// platform is not hit by the whole fleet at once.
class TableCircuitBreaker : public TableService
{
public:
    TableCircuitBreaker(
        TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random);

    void readRows(std::vector<std::string> keys, std::function<void(RowsReply)> callback) override;
    void readRange(std::string prefix, std::function<void(RangeReply)> callback) override;
    TransactionLimits transactionLimits() const override { return m_table.transactionLimits(); }
    void commit(Transaction transaction, std::function<void(CommitReply)> callback) override;

    bool isOpen() const { return m_consecutiveFailures >= FailuresToOpen; }

private:
    static constexpr int FailuresToOpen = 5;

    bool tryAdmitCall();
    void recordResult(bool isReachable);

    TableService &m_table;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    Base::ExponentialBackoff m_probeBackoff;
    int m_consecutiveFailures = 0;
    Base::Milliseconds m_nextProbeTime;
};

} // namespace Carawaykeel::Platform
