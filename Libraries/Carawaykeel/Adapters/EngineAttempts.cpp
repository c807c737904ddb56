#include <Carawaykeel/Adapters/EngineAttempts.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t Threads = 1;
constexpr std::size_t QueueLimit = 10'000;

/// A server that cannot be asked may have run the attempt, so then nothing is known.
Budget::AttemptLookupResult askAll(BackendClient &backends,
    const std::vector<std::string> &addresses, const Base::AttemptId &attempt)
{
    Budget::AttemptLookupResult sum{Budget::AttemptStatus::NeverSeen, {}};
    for (const auto &address : addresses) {
        const auto report = backends.endAttempt(address, attempt);
        if (report.status == Budget::AttemptStatus::Unknown)
            return report;
        if (report.status == Budget::AttemptStatus::Finished)
            sum.status = Budget::AttemptStatus::Finished;
        sum.tokens += report.tokens;
    }
    return sum;
}

} // namespace

EngineAttempts::EngineAttempts(BackendClient &backends, Base::Scheduler &scheduler)
    : m_backends(backends)
    , m_scheduler(scheduler)
    , m_pool(Threads, QueueLimit)
{
}

void EngineAttempts::setDeclaration(const Configuration::Declaration &declaration)
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

void EngineAttempts::lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
    std::uint64_t reservation, std::function<void(Budget::AttemptLookupResult)> answer)
{
    const auto it = m_servers.find(service);
    if (it == m_servers.end())
        return answer({});
    // The id without the attempt's number stands for all attempts of the reservation.
    const Base::AttemptId attempt(fmt::format("{}:{}", grant.text(), reservation));
    const bool isTaken =
        m_pool.tryRun([this, addresses = it->second, attempt, answer](std::size_t) {
            const auto report = askAll(m_backends, addresses, attempt);
            m_scheduler.schedule(Base::Milliseconds(), [answer, report] { answer(report); });
        });
    if (!isTaken)
        answer({});
}

} // namespace Carawaykeel::Adapters
