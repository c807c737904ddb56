#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Fleet/RcuCell.h>
#include <Carawaykeel/Fleet/RoutingTable.h>
#include <Carawaykeel/Instance/Instance.h>

namespace Carawaykeel::Fleet {

/// Gives the threads that handle callers' requests access to the instance. Look-ups read the
/// routing table without a lock. Operations on the instance run on the scheduler's thread; the
/// calling thread blocks where it needs the result.
class InstanceBridge
{
public:
    InstanceBridge(Instance::Instance &instance, Base::Scheduler &scheduler,
        const RcuCell<RoutingTable> &table);

    /// Calls the function with the current routing table and returns its result.
    template <typename Function>
    auto withRoutingTable(Function &&function) const
    {
        return m_table.read(std::forward<Function>(function));
    }

    Base::Outcome<Requests::Admission> admit(Requests::RequestDescription request);
    Base::Outcome<Requests::Admission> redispatch(Requests::Admission admission);

    /// Ends a dispatched request and blocks until its bill is durable, at most for the timeout.
    /// Returns false when the timeout expired first; the bill is still kept and settled later.
    bool complete(const Requests::Admission &admission, Requests::Completion completion,
        Base::Milliseconds timeout);

    /// Ends a dispatched request of which no byte was sent to the server.
    void abandon(const Requests::Admission &admission, Routing::SlotResult result);

    /// Returns a new request id that only this instance may execute.
    Base::RequestId issueRequestId(const Base::TeamId &team);

    Instance::EntryInstances entryInstancesFor(const Base::TeamId &team);

    /// Records the load that a backend server reported in a response.
    void updateReportedLoad(const Base::ServerName &server, double load);
    void markServerLeaving(const Base::ServerName &server);

    /// Runs a function on the scheduler's thread, blocks until it has run and returns its result.
    template <typename Result>
    Result callOnLoop(std::function<Result()> function);

    Instance::Instance &instance() { return m_instance; }

private:
    Instance::Instance &m_instance;
    Base::Scheduler &m_scheduler;
    const RcuCell<RoutingTable> &m_table;
};

} // namespace Carawaykeel::Fleet

#include <future>

namespace Carawaykeel::Fleet {

template <typename Result>
Result InstanceBridge::callOnLoop(std::function<Result()> function)
{
    std::promise<Result> promise;
    auto future = promise.get_future();
    m_scheduler.schedule(Base::Milliseconds(), [&] { promise.set_value(function()); });
    return future.get();
}

} // namespace Carawaykeel::Fleet
