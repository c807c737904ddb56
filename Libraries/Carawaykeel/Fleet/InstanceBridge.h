#pragma once

#include <Carawaykeel/Fleet/EventLoop.h>
#include <Carawaykeel/Fleet/RcuCell.h>
#include <Carawaykeel/Fleet/RoutingTable.h>
#include <Carawaykeel/Instance/Instance.h>

namespace Carawaykeel::Fleet {

/// Joins the threads that carry callers' requests to the decisions: look-ups read the routing table
/// without a lock, decisions are taken on the loop's thread while the request's own thread waits.
class InstanceBridge
{
public:
    InstanceBridge(
        Instance::Instance &instance, EventLoop &loop, const RcuCell<RoutingTable> &table);

    /// Calls the function with the routing table in force.
    template <typename Function>
    auto withRoutingTable(Function &&function) const
    {
        return m_table.read(std::forward<Function>(function));
    }

    Base::Outcome<Requests::Admission> admit(Requests::RequestDescription request);
    Base::Outcome<Requests::Admission> redispatch(Requests::Admission admission);

    /// Ends a dispatched request and waits until its bill is safe, at most for the patience.
    /// Answers false when it was not safe in time; it is still kept, and settled later.
    bool complete(const Requests::Admission &admission, Requests::Completion completion,
        Base::Milliseconds patience);

    /// Ends a request of which no byte was sent.
    void abandon(const Requests::Admission &admission, Routing::SlotResult result);

    /// An id that only this instance may run.
    Base::RequestId issueRequestId(const Base::TeamId &team);

    Instance::EntryInstances entryInstancesFor(const Base::TeamId &team);

    /// What an answer of a backend server said of the server.
    void reportLoad(const Base::ServerName &server, double load);
    void markServerLeaving(const Base::ServerName &server);

    /// Runs a function on the loop's thread and waits for what it answers.
    template <typename Answer>
    Answer callOnLoop(std::function<Answer()> function);

    Instance::Instance &instance() { return m_instance; }

private:
    Instance::Instance &m_instance;
    EventLoop &m_loop;
    const RcuCell<RoutingTable> &m_table;
};

} // namespace Carawaykeel::Fleet

#include <future>

namespace Carawaykeel::Fleet {

template <typename Answer>
Answer InstanceBridge::callOnLoop(std::function<Answer()> function)
{
    std::promise<Answer> promise;
    auto future = promise.get_future();
    m_loop.post([&] { promise.set_value(function()); });
    return future.get();
}

} // namespace Carawaykeel::Fleet
