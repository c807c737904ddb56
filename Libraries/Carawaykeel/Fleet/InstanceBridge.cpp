#include <Carawaykeel/Fleet/InstanceBridge.h>

#include <chrono>
#include <memory>
#include <utility>

namespace Carawaykeel::Fleet {

namespace {

using AdmissionPromise = std::promise<Base::Outcome<Requests::Admission>>;

/// Returns a callback that fulfils the promise. The callback may outlive the calling function.
std::function<void(Base::Outcome<Requests::Admission>)> makePromiseCallback(
    const std::shared_ptr<AdmissionPromise> &promise)
{
    return [promise](Base::Outcome<Requests::Admission> outcome) {
        promise->set_value(std::move(outcome));
    };
}

} // namespace

InstanceBridge::InstanceBridge(
    Instance::Instance &instance, Base::Scheduler &scheduler, const RcuCell<RoutingTable> &table)
    : m_instance(instance)
    , m_scheduler(scheduler)
    , m_table(table)
{
}

Base::Outcome<Requests::Admission> InstanceBridge::admit(Requests::RequestDescription request)
{
    auto promise = std::make_shared<AdmissionPromise>();
    auto future = promise->get_future();
    m_scheduler.schedule(
        Base::Milliseconds(), [this, request = std::move(request), promise]() mutable {
            m_instance.requestCoordinator().admit(std::move(request), makePromiseCallback(promise));
        });
    return future.get();
}

Base::Outcome<Requests::Admission> InstanceBridge::redispatch(Requests::Admission admission)
{
    auto promise = std::make_shared<AdmissionPromise>();
    auto future = promise->get_future();
    m_scheduler.schedule(
        Base::Milliseconds(), [this, admission = std::move(admission), promise]() mutable {
            m_instance.requestCoordinator().redispatch(
                std::move(admission), makePromiseCallback(promise));
        });
    return future.get();
}

bool InstanceBridge::complete(const Requests::Admission &admission, Requests::Completion completion,
    Base::Milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto future = promise->get_future();
    m_scheduler.schedule(Base::Milliseconds(),
        [this, admission, completion = std::move(completion), promise]() mutable {
            m_instance.requestCoordinator().complete(admission, std::move(completion),
                [promise](bool isDurable) { promise->set_value(isDurable); });
        });
    const auto status = future.wait_for(std::chrono::milliseconds(timeout.count()));
    return status == std::future_status::ready && future.get();
}

void InstanceBridge::abandon(const Requests::Admission &admission, Routing::SlotResult result)
{
    m_scheduler.schedule(Base::Milliseconds(),
        [this, admission, result] { m_instance.requestCoordinator().abandon(admission, result); });
}

Base::RequestId InstanceBridge::issueRequestId(const Base::TeamId &team)
{
    return callOnLoop<Base::RequestId>(
        [&] { return m_instance.requestIdIssuer().issue(team, m_scheduler.now()); });
}

Instance::EntryInstances InstanceBridge::entryInstancesFor(const Base::TeamId &team)
{
    return callOnLoop<Instance::EntryInstances>([&] { return m_instance.entryInstancesFor(team); });
}

void InstanceBridge::updateReportedLoad(const Base::ServerName &server, double load)
{
    m_scheduler.schedule(Base::Milliseconds(),
        [this, server, load] { m_instance.dispatcher().updateReportedLoad(server, load); });
}

void InstanceBridge::markServerLeaving(const Base::ServerName &server)
{
    m_scheduler.schedule(
        Base::Milliseconds(), [this, server] { m_instance.markServerLeaving(server); });
}

} // namespace Carawaykeel::Fleet
