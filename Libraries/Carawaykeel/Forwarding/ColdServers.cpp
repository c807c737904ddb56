#include <Carawaykeel/Forwarding/ColdServers.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Carawaykeel::Forwarding {

namespace {

constexpr double MillisecondsPerSecond = 1'000;
/// More names and addresses than the servers of the largest fleets have. Beyond it all are
/// forgotten, and a restart is then not noticed by the name or address.
constexpr std::size_t MaxKnownIncarnations = 4'096;

/// Returns the time between two requests of a permit's holder; empty if the bound allows none.
std::optional<Base::Milliseconds> requestInterval(
    const ColdServerPolicy &policy, const ServiceDefinition &service)
{
    const auto bound = std::floor(service.coldRequestsPerSecond * policy.overFactor + policy.slack);
    const auto rate = std::min(service.coldRequestsPerSecond, bound);
    if (rate <= 0)
        return std::nullopt;
    return Base::Milliseconds(static_cast<std::int64_t>(std::ceil(MillisecondsPerSecond / rate)));
}

} // namespace

std::string_view nameOf(ColdCause cause)
{
    switch (cause) {
    case ColdCause::Announced:
        return "announced";
    case ColdCause::Answered:
        return "answered";
    case ColdCause::Restarted:
        return "restarted";
    case ColdCause::Returned:
        return "returned";
    case ColdCause::Failed:
        return "failed";
    }
    return "unknown";
}

void ColdServers::setConfiguration(std::shared_ptr<const RouterConfiguration> configuration)
{
    m_configuration = std::move(configuration);
}

const ServiceDefinition *ColdServers::limitedService(const Base::ServiceName &name) const
{
    if (!m_policy || !m_configuration)
        return nullptr;
    const auto *service = m_configuration->findService(name);
    return service && service->coldRequestsPerSecond > 0 ? service : nullptr;
}

const ColdServers::Record *ColdServers::find(const ServerEntry &entry) const
{
    const auto it = m_records.find(entry.name);
    return it == m_records.end() || it->second.startedAt != entry.startedAt ? nullptr : &it->second;
}

ColdServers::Record &ColdServers::recordOf(const ServerEntry &entry)
{
    auto &record = m_records[entry.name];
    if (record.startedAt != entry.startedAt)
        record = Record();
    record.startedAt = entry.startedAt;
    record.service = entry.service;
    return record;
}

bool ColdServers::isRestarted(const ServerEntry &entry)
{
    if (m_startTimes.size() >= MaxKnownIncarnations)
        m_startTimes.clear();
    if (m_incarnationsByAddress.size() >= MaxKnownIncarnations)
        m_incarnationsByAddress.clear();
    const ServerIncarnation incarnation{entry.name, entry.startedAt};
    const auto [byName, isNewName] = m_startTimes.try_emplace(entry.name, entry.startedAt);
    const auto [byAddress, isNewAddress] =
        m_incarnationsByAddress.try_emplace(entry.address, incarnation);
    const bool isOtherIncarnation = byName->second != entry.startedAt;
    const bool isOtherAtAddress = byAddress->second != incarnation;
    byName->second = entry.startedAt;
    byAddress->second = incarnation;
    return isOtherIncarnation || isOtherAtAddress;
}

void ColdServers::onEntry(const ServerEntry &entry, Base::Milliseconds now)
{
    if (!m_policy)
        return;
    const bool hasRestarted = isRestarted(entry);
    const auto *known = find(entry);
    if (entry.remainingWarmUpTime > Base::Milliseconds()) {
        auto &record = recordOf(entry);
        const auto duration = std::min(entry.remainingWarmUpTime, MaxColdTime);
        if (!record.isReportedCold)
            record.cause = ColdCause::Announced;
        record.statedUntil = std::max(record.statedUntil, now + duration);
        record.longestStated = std::max(record.longestStated, duration);
        record.failedAt.reset();
        return;
    }
    if (hasRestarted && !entry.hasWarmUpTime) {
        auto &record = recordOf(entry);
        record.cause = ColdCause::Restarted;
        record.declaredAt = now;
        return;
    }
    if (known)
        recordOf(entry).failedAt.reset();
}

void ColdServers::onStated(
    const ServerEntry &entry, Base::Milliseconds duration, Base::Milliseconds now)
{
    if (!m_policy || duration <= Base::Milliseconds())
        return;
    auto &record = recordOf(entry);
    const auto bounded = std::min(duration, MaxColdTime);
    if (!record.isReportedCold)
        record.cause = ColdCause::Answered;
    record.statedUntil = std::max(record.statedUntil, now + bounded);
    record.longestStated = std::max(record.longestStated, bounded);
}

void ColdServers::onReturned(const ServerEntry &entry, Base::Milliseconds now)
{
    if (!m_policy)
        return;
    auto &record = recordOf(entry);
    if (!record.isReportedCold)
        record.cause = ColdCause::Returned;
    record.declaredAt = now;
}

void ColdServers::onConnectionFailed(const ServerEntry &entry, Base::Milliseconds now)
{
    if (!m_policy)
        return;
    auto &record = recordOf(entry);
    if (!record.isReportedCold)
        record.cause = ColdCause::Failed;
    record.failedAt = now;
}

Base::Milliseconds ColdServers::coldTimeOf(const ServiceDefinition &service)
{
    return std::min(service.coldTime, MaxColdTime);
}

Base::Milliseconds ColdServers::coldUntil(const Record &record, const ServiceDefinition &service)
{
    auto until = record.statedUntil;
    if (record.declaredAt)
        until = std::max(until, *record.declaredAt + coldTimeOf(service));
    if (record.failedAt)
        until = std::max(until, *record.failedAt + coldTimeOf(service));
    return until;
}

Base::Milliseconds ColdServers::slowStartTimeOf(
    const Record &record, const ServiceDefinition &service)
{
    // An instance that learned late of the coldness saw only the end of the cold time.
    return std::max(coldTimeOf(service), record.longestStated);
}

Base::Milliseconds ColdServers::remainingColdTime(
    const ServerEntry &entry, Base::Milliseconds now) const
{
    const auto *record = find(entry);
    const auto *service = record ? limitedService(entry.service) : nullptr;
    if (!service)
        return {};
    return std::max(coldUntil(*record, *service) - now, Base::Milliseconds());
}

bool ColdServers::isCold(const ServerEntry &entry, Base::Milliseconds now) const
{
    return remainingColdTime(entry, now) > Base::Milliseconds();
}

double ColdServers::slowStartShare(const ServerEntry &entry, Base::Milliseconds now) const
{
    const auto *record = find(entry);
    const auto *service = record ? limitedService(entry.service) : nullptr;
    if (!service)
        return 0;
    const auto until = coldUntil(*record, *service);
    const auto period = slowStartTimeOf(*record, *service);
    if (until <= Base::Milliseconds() || now < until || now >= until + period)
        return 0;
    return 1 - static_cast<double>((now - until).count()) / static_cast<double>(period.count());
}

void ColdServers::setPermit(const ServerIncarnation &server, Base::Milliseconds until)
{
    const auto it = m_records.find(server.name);
    if (it != m_records.end() && it->second.startedAt == server.startedAt)
        it->second.permitUntil = until;
}

bool ColdServers::hasRoom(const ServerEntry &entry, Base::Milliseconds now) const
{
    const auto *record = find(entry);
    const auto *service = record ? limitedService(entry.service) : nullptr;
    return service && record->permitUntil > now && record->nextSendAt <= now
        && requestInterval(*m_policy, *service);
}

void ColdServers::onRequestSent(const ServerEntry &entry, Base::Milliseconds now)
{
    if (!isCold(entry, now))
        return;
    const auto interval = requestInterval(*m_policy, *limitedService(entry.service));
    recordOf(entry).nextSendAt = now + interval.value_or(MaxColdTime);
}

std::vector<ColdTransition> ColdServers::takeTransitions(Base::Milliseconds now)
{
    std::vector<ColdTransition> transitions;
    for (auto it = m_records.begin(); it != m_records.end();) {
        auto &[name, record] = *it;
        const auto *service = limitedService(record.service);
        const auto until = service ? coldUntil(record, *service) : Base::Milliseconds();
        const bool isCold = until > now;
        if (isCold != std::exchange(record.isReportedCold, isCold)) {
            const auto remaining = isCold ? until - now : Base::Milliseconds();
            transitions.push_back({{name, record.startedAt}, isCold, record.cause, remaining});
        }
        // The limit of the service may become known later than the server.
        const auto latest = std::max(
            {record.statedUntil, record.declaredAt.value_or(Base::Milliseconds()) + MaxColdTime,
                record.failedAt.value_or(Base::Milliseconds()) + MaxColdTime});
        const auto keptUntil = service ? until + slowStartTimeOf(record, *service) : latest;
        it = keptUntil <= now ? m_records.erase(it) : std::next(it);
    }
    return transitions;
}

} // namespace Carawaykeel::Forwarding
