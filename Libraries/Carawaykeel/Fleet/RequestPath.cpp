#include <Carawaykeel/Fleet/RequestPath.h>

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

RequestPath::RequestPath(
    Instance::Instance &instance, EventLoop &loop, const RcuCell<RoutingTable> &table)
    : m_instance(instance)
    , m_loop(loop)
    , m_table(table)
{
}

Base::Outcome<Requests::Admission> RequestPath::admit(Requests::RequestDescription request)
{
    auto promise = std::make_shared<AdmissionPromise>();
    auto future = promise->get_future();
    m_loop.post([this, request = std::move(request), promise]() mutable {
        m_instance.requests().admit(std::move(request), makePromiseCallback(promise));
    });
    return future.get();
}

Base::Outcome<Requests::Admission> RequestPath::redispatch(Requests::Admission admission)
{
    auto promise = std::make_shared<AdmissionPromise>();
    auto future = promise->get_future();
    m_loop.post([this, admission = std::move(admission), promise]() mutable {
        m_instance.requests().redispatch(std::move(admission), makePromiseCallback(promise));
    });
    return future.get();
}

bool RequestPath::complete(const Requests::Admission &admission, Requests::Completion completion,
    Base::Milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto future = promise->get_future();
    m_loop.post([this, admission, completion = std::move(completion), promise]() mutable {
        m_instance.requests().complete(admission, std::move(completion),
            [promise](bool isDurable) { promise->set_value(isDurable); });
    });
    const auto status = future.wait_for(std::chrono::milliseconds(timeout.count()));
    return status == std::future_status::ready && future.get();
}

void RequestPath::abandon(const Requests::Admission &admission, Routing::SlotResult result)
{
    m_loop.post([this, admission, result] { m_instance.requests().abandon(admission, result); });
}

Base::RequestId RequestPath::mintId(const Base::TeamId &team)
{
    return call<Base::RequestId>([&] { return m_instance.mint().mint(team, m_loop.now()); });
}

Instance::EntryAnswer RequestPath::entryFor(const Base::TeamId &team)
{
    return call<Instance::EntryAnswer>([&] { return m_instance.entryFor(team); });
}

void RequestPath::reportLoad(const Base::ServerName &server, double load)
{
    m_loop.post([this, server, load] { m_instance.dispatcher().reportLoad(server, load); });
}

void RequestPath::noteLeavingServer(const Base::ServerName &server)
{
    m_loop.post([this, server] { m_instance.noteLeavingServer(server); });
}

} // namespace Carawaykeel::Fleet
