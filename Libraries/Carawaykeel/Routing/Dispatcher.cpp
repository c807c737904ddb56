#include <Carawaykeel/Routing/Dispatcher.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Routing {

namespace {

constexpr Base::Milliseconds RetryHint{1'000};
/// The part of the minute's tokens that is kept for Urgent and High requests.
constexpr double MinuteReserve = 0.2;

bool isFavoured(Priority priority)
{
    return priority == Priority::Urgent || priority == Priority::High;
}

double minuteReserve(Priority priority)
{
    return isFavoured(priority) ? 0 : MinuteReserve;
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
    const std::vector<ServerDefinition> &servers, Base::Tokens ceiling)
{
    auto it = m_services.find(name);
    if (it == m_services.end()) {
        Service fresh{{}, {}, 0, TokenRateLimiter(ceiling),
            RetryTokenBucket(m_policy.retryRatio, m_policy.retryBurst), false};
        it = m_services.emplace(name, std::move(fresh)).first;
    }
    auto &service = it->second;
    service.limiter.setCeiling(ceiling);
    std::vector<ServerState> next;
    for (const auto &definition : servers) {
        const auto known = std::find_if(service.servers.begin(), service.servers.end(),
            [&](const ServerState &server) { return server.name == definition.name; });
        ServerState state = known == service.servers.end() ? ServerState() : *known;
        state.name = definition.name;
        state.address = definition.address;
        state.dataCentre = definition.dataCentre;
        state.capacity = definition.capacity;
        state.isLeaving = m_leaving.contains(definition.name);
        next.push_back(std::move(state));
    }
    service.servers = std::move(next);
    pump(name);
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
            for (auto &waiting : queue)
                fail(waiting, Base::ErrorKind::NoServerAvailable,
                    "the service is declared no longer", {});
        }
    }
}

void Dispatcher::acquire(SlotRequest request, std::function<void(Base::Outcome<Slot>)> answer)
{
    const auto name = request.service;
    Waiting waiting{std::move(request), std::move(answer), ++m_tickets};
    const auto it = m_services.find(name);
    if (it == m_services.end() || !hasAnyServer(it->second)) {
        ++m_counters.withoutServer;
        return fail(waiting, Base::ErrorKind::NoServerAvailable,
            "no server of the service takes work now", RetryHint);
    }
    auto &service = it->second;
    service.retries.noteRequest();
    bool isOvertaking = false;
    for (std::size_t n = 0; n <= static_cast<std::size_t>(waiting.request.priority); ++n)
        isOvertaking = isOvertaking || !service.queues.at(n).empty();
    if (!isOvertaking && tryDispatch(service, waiting))
        return;
    enqueue(name, service, std::move(waiting));
}

bool Dispatcher::hasAnyServer(const Service &service) const
{
    return std::any_of(service.servers.begin(), service.servers.end(),
        [](const ServerState &server) { return !server.isLeaving; });
}

bool Dispatcher::hasSlotFor(const Service &service, Priority priority) const
{
    int capacity = 0;
    int free = 0;
    for (const auto &server : service.servers) {
        if (server.isLeaving)
            continue;
        capacity += server.capacity;
        free += std::max(0, server.capacity - server.inFlight);
    }
    const auto reserved =
        isFavoured(priority) ? 0 : static_cast<int>(m_policy.reservedSlotShare * capacity);
    return free > reserved;
}

bool Dispatcher::tryDispatch(Service &service, Waiting &waiting)
{
    const auto &request = waiting.request;
    const auto now = m_scheduler.now();
    if (!hasSlotFor(service, request.priority))
        return false;
    const auto chosen = selectServer(service.servers, request.preference, m_policy, now, m_random);
    if (!chosen)
        return false;
    if (!service.limiter.tryTake(request.tokens, minuteReserve(request.priority), now))
        return false;
    auto &server = service.servers[*chosen];
    ++server.inFlight;
    ++m_counters.dispatched;
    auto answer = std::move(waiting.answer);
    answer(Slot{request.service, server.name, server.address, request.tokens});
    return true;
}

void Dispatcher::enqueue(const Base::ServiceName &name, Service &service, Waiting waiting)
{
    const auto priority = waiting.request.priority;
    const auto now = m_scheduler.now();
    const auto wait = service.limiter.waitFor(waiting.request.tokens, minuteReserve(priority), now);
    if (now + wait > waiting.request.deadline)
        return fail(
            waiting, Base::ErrorKind::RateLimitExceeded, "the supplier's minute is full", wait);
    if (service.queued >= m_policy.queueLimit && !shedBelow(service, priority)) {
        return fail(
            waiting, Base::ErrorKind::QueueFull, "too many requests wait already", RetryHint);
    }
    ++m_counters.queued;
    ++service.queued;
    const auto ticket = waiting.ticket;
    const auto left = waiting.request.deadline - now;
    service.queues.at(static_cast<std::size_t>(priority)).push_back(std::move(waiting));
    m_scheduler.schedule(left, [this, name, priority, ticket] { expire(name, priority, ticket); });
    wakeForMinute(name, service);
}

bool Dispatcher::shedBelow(Service &service, Priority priority)
{
    for (auto n = PriorityCount - 1; n > static_cast<std::size_t>(priority); --n) {
        auto &queue = service.queues.at(n);
        if (queue.empty())
            continue;
        auto last = std::move(queue.back());
        queue.pop_back();
        --service.queued;
        ++m_counters.shed;
        fail(last, Base::ErrorKind::QueueFull, "a request of higher priority took the place",
            RetryHint);
        return true;
    }
    return false;
}

void Dispatcher::expire(const Base::ServiceName &name, Priority priority, std::uint64_t ticket)
{
    const auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    auto &queue = it->second.queues.at(static_cast<std::size_t>(priority));
    const auto found = std::find_if(queue.begin(), queue.end(),
        [&](const Waiting &waiting) { return waiting.ticket == ticket; });
    if (found == queue.end())
        return;
    auto waiting = std::move(*found);
    queue.erase(found);
    --it->second.queued;
    ++m_counters.deadlinesExpired;
    fail(waiting, Base::ErrorKind::QueueTimeout, "no server was free in time", RetryHint);
}

void Dispatcher::fail(
    Waiting &waiting, Base::ErrorKind kind, std::string_view message, Base::Milliseconds retryAfter)
{
    auto answer = std::move(waiting.answer);
    answer(Base::Failure{kind, std::string(message), retryAfter});
}

void Dispatcher::release(const Slot &slot, SlotResult result, Base::Tokens unusedTokens)
{
    const auto it = m_services.find(slot.service);
    if (it == m_services.end())
        return;
    auto &service = it->second;
    service.limiter.giveBack(unusedTokens);
    for (auto &server : service.servers) {
        if (server.name != slot.server)
            continue;
        server.inFlight = std::max(0, server.inFlight - 1);
        noteResult(server, result);
    }
    pump(slot.service);
}

void Dispatcher::noteResult(ServerState &server, SlotResult result)
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

void Dispatcher::pump(const Base::ServiceName &name)
{
    const auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    auto &service = it->second;
    if (!hasAnyServer(service)) {
        for (auto &queue : service.queues) {
            while (!queue.empty()) {
                auto waiting = std::move(queue.front());
                queue.pop_front();
                --service.queued;
                ++m_counters.withoutServer;
                fail(waiting, Base::ErrorKind::NoServerAvailable,
                    "the last server of the service is leaving", RetryHint);
            }
        }
        return;
    }
    while (pumpOne(service)) { }
    wakeForMinute(name, service);
}

bool Dispatcher::pumpOne(Service &service)
{
    for (auto &queue : service.queues) {
        if (queue.empty())
            continue;
        auto waiting = std::move(queue.front());
        queue.pop_front();
        if (tryDispatch(service, waiting)) {
            --service.queued;
            return true;
        }
        // NOTE: A lower priority never passes a higher one that waits, or long requests would
        // starve.
        queue.push_front(std::move(waiting));
        return false;
    }
    return false;
}

void Dispatcher::wakeForMinute(const Base::ServiceName &name, Service &service)
{
    if (service.isWaking || service.queued == 0 || service.limiter.isUnlimited())
        return;
    for (const auto &queue : service.queues) {
        if (queue.empty())
            continue;
        const auto &request = queue.front().request;
        const auto wait = service.limiter.waitFor(
            request.tokens, minuteReserve(request.priority), m_scheduler.now());
        if (wait == Base::Milliseconds())
            return;
        service.isWaking = true;
        m_scheduler.schedule(wait, [this, name] {
            const auto it = m_services.find(name);
            if (it == m_services.end())
                return;
            it->second.isWaking = false;
            pump(name);
        });
        return;
    }
}

void Dispatcher::setLeavingServers(const std::set<Base::ServerName> &leaving)
{
    m_leaving = leaving;
    std::vector<Base::ServiceName> names;
    for (auto &[name, service] : m_services) {
        for (auto &server : service.servers)
            server.isLeaving = m_leaving.contains(server.name);
        names.push_back(name);
    }
    for (const auto &name : names)
        pump(name);
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
    return it != m_services.end() && it->second.retries.tryRetry();
}

std::size_t Dispatcher::queuedRequests() const
{
    std::size_t sum = 0;
    for (const auto &[name, service] : m_services)
        sum += service.queued;
    return sum;
}

std::vector<ServerState> Dispatcher::servers() const
{
    std::vector<ServerState> all;
    for (const auto &[name, service] : m_services)
        all.insert(all.end(), service.servers.begin(), service.servers.end());
    return all;
}

} // namespace Carawaykeel::Routing
