#include <Carawaykeel/Adapters/EngineAttemptLookup.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t ThreadCount = 1;
constexpr std::size_t QueueLimit = 10'000;

/// Queries all servers and adds up the results. A server that cannot be queried may have run the
/// attempt, so the result is then unknown.
Budget::AttemptLookupResult queryAll(BackendClient &backends,
    const std::vector<std::string> &addresses, const Base::AttemptId &attempt)
{
    Budget::AttemptLookupResult sum{Budget::AttemptStatus::NeverSeen, {}};
    for (const auto &address : addresses) {
        const auto result = backends.cancelAttempt(address, attempt);
        if (result.status == Budget::AttemptStatus::Unknown)
            return result;
        if (result.status == Budget::AttemptStatus::Finished)
            sum.status = Budget::AttemptStatus::Finished;
        sum.tokens += result.tokens;
    }
    return sum;
}

} // namespace

EngineAttemptLookup::EngineAttemptLookup(BackendClient &backends, Base::Scheduler &scheduler)
    : m_backends(backends)
    , m_scheduler(scheduler)
    , m_pool(ThreadCount, QueueLimit)
{
}

void EngineAttemptLookup::setDeclaration(const Configuration::Declaration &declaration)
{
    m_servers.clear();
    for (const auto &service : declaration.services) {
        if (!service.supportsAttemptStatus)
            continue;
        auto &addresses = m_servers[service.name];
        for (const auto &server : service.servers)
            addresses.push_back(server.address);
    }
}

void EngineAttemptLookup::lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
    std::uint64_t reservation, std::function<void(Budget::AttemptLookupResult)> callback)
{
    const auto it = m_servers.find(service);
    if (it == m_servers.end())
        return callback({});
    // The id without an attempt number denotes all attempts of the reservation.
    const Base::AttemptId attempt(fmt::format("{}:{}", grant.text(), reservation));
    const bool isQueued =
        m_pool.tryRun([this, addresses = it->second, attempt, callback](std::size_t) {
            const auto result = queryAll(m_backends, addresses, attempt);
            m_scheduler.schedule(Base::Milliseconds(), [callback, result] { callback(result); });
        });
    if (!isQueued)
        callback({});
}

} // namespace Carawaykeel::Adapters
