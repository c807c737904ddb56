#include <Carawaykeel/Routing/Dispatcher.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Routing {

namespace {

constexpr Base::Milliseconds DefaultRetryAfter{1'000};
/// The share of the rate limiter's capacity that is reserved for Urgent and High requests.
constexpr double ReservedRateShare = 0.2;

bool mayUseReserve(Priority priority)
{
    return priority == Priority::Urgent || priority == Priority::High;
}

double reservedRateShare(Priority priority)
{
    return mayUseReserve(priority) ? 0 : ReservedRateShare;
}

} // namespace

Dispatcher::Dispatcher(
    Base::Scheduler &scheduler, Base::RandomEngine &random, const RoutingPolicy &policy)
    : m_scheduler(scheduler)
    , m_random(random)
    , m_policy(policy)
{
}

void Dispatcher::setService(const Base::ServiceName &name,
    const std::vector<ServerDefinition> &servers, Base::Tokens tokensPerMinuteLimit)
{
    auto it = m_services.find(name);
    if (it == m_services.end()) {
        Service newService{{}, {}, 0, TokenRateLimiter(tokensPerMinuteLimit),
            RetryTokenBucket(m_policy.retryRatio, m_policy.retryBurst), false};
        it = m_services.emplace(name, std::move(newService)).first;
    }
    auto &service = it->second;
    service.rateLimiter.setLimit(tokensPerMinuteLimit);
    std::vector<ServerState> updated;
    for (const auto &definition : servers) {
        const auto existing = std::find_if(service.servers.begin(), service.servers.end(),
            [&](const ServerState &server) { return server.name == definition.name; });
        ServerState state = existing == service.servers.end() ? ServerState() : *existing;
        state.name = definition.name;
        state.address = definition.address;
        state.dataCentre = definition.dataCentre;
        state.capacity = definition.capacity;
        state.isLeaving = m_leaving.contains(definition.name);
        state.isEvacuated = m_evacuated.contains(definition.dataCentre);
        updated.push_back(std::move(state));
    }
    service.servers = std::move(updated);
    dispatchQueued(name);
}

void Dispatcher::retainServices(const std::set<Base::ServiceName> &services)
{
    for (auto it = m_services.begin(); it != m_services.end();) {
        if (services.contains(it->first)) {
            ++it;
            continue;
        }
        auto queues = std::move(it->second.queues);
        it = m_services.erase(it);
        for (auto &queue : queues) {
            for (auto &pending : queue) {
                fail(pending, Base::ErrorKind::NoServerAvailable,
                    "the service is declared no longer", {});
            }
        }
    }
}

void Dispatcher::acquire(SlotRequest request, std::function<void(Base::Outcome<Slot>)> callback)
{
    const auto name = request.service;
    PendingRequest pending{std::move(request), std::move(callback), ++m_lastSequenceNumber};
    const auto it = m_services.find(name);
    if (it == m_services.end() || !hasUsableServer(it->second)) {
        ++m_counters.withoutServer;
        return fail(pending, Base::ErrorKind::NoServerAvailable,
            "no server of the service takes work now", DefaultRetryAfter);
    }
    auto &service = it->second;
    service.retryBucket.recordRequest();
    bool hasQueuedAhead = false;
    for (std::size_t n = 0; n <= static_cast<std::size_t>(pending.request.priority); ++n)
        hasQueuedAhead = hasQueuedAhead || !service.queues.at(n).empty();
    if (!hasQueuedAhead && tryDispatch(service, pending))
        return;
    enqueue(name, service, std::move(pending));
}

bool Dispatcher::hasUsableServer(const Service &service) const
{
    return std::any_of(service.servers.begin(), service.servers.end(),
        [](const ServerState &server) { return server.isEligible(); });
}

bool Dispatcher::hasSlotFor(const Service &service, Priority priority) const
{
    int capacity = 0;
    int free = 0;
    for (const auto &server : service.servers) {
        if (!server.isEligible())
            continue;
        capacity += server.capacity;
        free += std::max(0, server.capacity - server.inFlight);
    }
    const auto reserved =
        mayUseReserve(priority) ? 0 : static_cast<int>(m_policy.reservedSlotShare * capacity);
    return free > reserved;
}

bool Dispatcher::tryDispatch(Service &service, PendingRequest &pending)
{
    const auto &request = pending.request;
    const auto now = m_scheduler.now();
    if (!hasSlotFor(service, request.priority))
        return false;
    const auto selected =
        selectServer(service.servers, request.preference, m_policy, now, m_random);
    if (!selected)
        return false;
    if (!service.rateLimiter.tryTake(request.tokens, reservedRateShare(request.priority), now))
        return false;
    auto &server = service.servers[*selected];
    ++server.inFlight;
    ++m_counters.dispatched;
    auto callback = std::move(pending.callback);
    callback(Slot{request.service, server.name, server.address, request.tokens});
    return true;
}

void Dispatcher::enqueue(const Base::ServiceName &name, Service &service, PendingRequest pending)
{
    const auto priority = pending.request.priority;
    const auto now = m_scheduler.now();
    const auto wait = service.rateLimiter.timeUntilAvailable(
        pending.request.tokens, reservedRateShare(priority), now);
    if (now + wait > pending.request.deadline) {
        return fail(
            pending, Base::ErrorKind::RateLimitExceeded, "the supplier's minute is full", wait);
    }
    if (service.queuedCount >= m_policy.queueLimit && !tryShedBelow(service, priority)) {
        return fail(pending, Base::ErrorKind::QueueFull, "too many requests wait already",
            DefaultRetryAfter);
    }
    ++m_counters.queued;
    ++service.queuedCount;
    const auto sequenceNumber = pending.sequenceNumber;
    const auto remainingTime = pending.request.deadline - now;
    service.queues.at(static_cast<std::size_t>(priority)).push_back(std::move(pending));
    m_scheduler.schedule(remainingTime,
        [this, name, priority, sequenceNumber] { expireQueued(name, priority, sequenceNumber); });
    scheduleWakeUp(name, service);
}

bool Dispatcher::tryShedBelow(Service &service, Priority priority)
{
    for (auto n = PriorityCount - 1; n > static_cast<std::size_t>(priority); --n) {
        auto &queue = service.queues.at(n);
        if (queue.empty())
            continue;
        auto last = std::move(queue.back());
        queue.pop_back();
        --service.queuedCount;
        ++m_counters.shed;
        fail(last, Base::ErrorKind::QueueFull, "a request of higher priority took the place",
            DefaultRetryAfter);
        return true;
    }
    return false;
}

void Dispatcher::expireQueued(
    const Base::ServiceName &name, Priority priority, std::uint64_t sequenceNumber)
{
    const auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    auto &queue = it->second.queues.at(static_cast<std::size_t>(priority));
    const auto found = std::find_if(queue.begin(), queue.end(),
        [&](const PendingRequest &pending) { return pending.sequenceNumber == sequenceNumber; });
    if (found == queue.end())
        return;
    auto pending = std::move(*found);
    queue.erase(found);
    --it->second.queuedCount;
    ++m_counters.deadlinesExpired;
    fail(pending, Base::ErrorKind::QueueTimeout, "no server was free in time", DefaultRetryAfter);
}

void Dispatcher::fail(PendingRequest &pending, Base::ErrorKind kind, std::string_view message,
    Base::Milliseconds retryAfter)
{
    auto callback = std::move(pending.callback);
    callback(Base::Failure{kind, std::string(message), retryAfter});
}

void Dispatcher::release(const Slot &slot, SlotResult result, Base::Tokens unusedTokens)
{
    const auto it = m_services.find(slot.service);
    if (it == m_services.end())
        return;
    auto &service = it->second;
    service.rateLimiter.returnTokens(unusedTokens);
    for (auto &server : service.servers) {
        if (server.name != slot.server)
            continue;
        server.inFlight = std::max(0, server.inFlight - 1);
        recordResult(server, result);
    }
    dispatchQueued(slot.service);
}

void Dispatcher::recordResult(ServerState &server, SlotResult result)
{
    if (result == SlotResult::Unused)
        return;
    if (result == SlotResult::Succeeded) {
        server.consecutiveFailures = 0;
        server.ejectionTime = Base::Milliseconds();
        return;
    }
    if (++server.consecutiveFailures < m_policy.consecutiveFailuresToEject)
        return;
    server.consecutiveFailures = 0;
    server.ejectionTime =
        std::clamp(server.ejectionTime * 2, m_policy.minEjectionTime, m_policy.maxEjectionTime);
    server.ejectedUntil = m_scheduler.now() + server.ejectionTime;
    ++m_counters.ejections;
}

void Dispatcher::dispatchQueued(const Base::ServiceName &name)
{
    const auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    auto &service = it->second;
    if (!hasUsableServer(service)) {
        for (auto &queue : service.queues) {
            while (!queue.empty()) {
                auto pending = std::move(queue.front());
                queue.pop_front();
                --service.queuedCount;
                ++m_counters.withoutServer;
                fail(pending, Base::ErrorKind::NoServerAvailable,
                    "the last server of the service is leaving or evacuated", DefaultRetryAfter);
            }
        }
        return;
    }
    while (tryDispatchNext(service)) { }
    scheduleWakeUp(name, service);
}

bool Dispatcher::tryDispatchNext(Service &service)
{
    for (auto &queue : service.queues) {
        if (queue.empty())
            continue;
        auto pending = std::move(queue.front());
        queue.pop_front();
        if (tryDispatch(service, pending)) {
            --service.queuedCount;
            return true;
        }
        // NOTE: A request never overtakes a queued one of higher priority; otherwise large requests
        // would starve.
        queue.push_front(std::move(pending));
        return false;
    }
    return false;
}

void Dispatcher::scheduleWakeUp(const Base::ServiceName &name, Service &service)
{
    if (service.isWakeUpScheduled || service.queuedCount == 0 || service.rateLimiter.isUnlimited())
        return;
    for (const auto &queue : service.queues) {
        if (queue.empty())
            continue;
        const auto &request = queue.front().request;
        const auto wait = service.rateLimiter.timeUntilAvailable(
            request.tokens, reservedRateShare(request.priority), m_scheduler.now());
        if (wait == Base::Milliseconds())
            return;
        service.isWakeUpScheduled = true;
        m_scheduler.schedule(wait, [this, name] {
            const auto it = m_services.find(name);
            if (it == m_services.end())
                return;
            it->second.isWakeUpScheduled = false;
            dispatchQueued(name);
        });
        return;
    }
}

void Dispatcher::setLeavingServers(const std::set<Base::ServerName> &leaving)
{
    m_leaving = leaving;
    updateEligibility();
}

void Dispatcher::setEvacuatedDataCentres(const std::set<Base::DataCentre> &evacuated)
{
    m_evacuated = evacuated;
    updateEligibility();
}

void Dispatcher::updateEligibility()
{
    std::vector<Base::ServiceName> names;
    for (auto &[name, service] : m_services) {
        for (auto &server : service.servers) {
            server.isLeaving = m_leaving.contains(server.name);
            server.isEvacuated = m_evacuated.contains(server.dataCentre);
        }
        names.push_back(name);
    }
    for (const auto &name : names)
        dispatchQueued(name);
}

void Dispatcher::updateReportedLoad(const Base::ServerName &server, double load)
{
    for (auto &[name, service] : m_services) {
        for (auto &state : service.servers) {
            if (state.name != server)
                continue;
            state.reportedLoad = load;
            state.reportedAt = m_scheduler.now();
        }
    }
}

bool Dispatcher::tryTakeRetry(const Base::ServiceName &service)
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.retryBucket.tryTake();
}

std::size_t Dispatcher::queuedRequests() const
{
    std::size_t total = 0;
    for (const auto &[name, service] : m_services)
        total += service.queuedCount;
    return total;
}

std::vector<ServerState> Dispatcher::servers() const
{
    std::vector<ServerState> all;
    for (const auto &[name, service] : m_services)
        all.insert(all.end(), service.servers.begin(), service.servers.end());
    return all;
}

} // namespace Carawaykeel::Routing
