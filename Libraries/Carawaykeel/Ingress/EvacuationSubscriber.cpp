#include <Carawaykeel/Ingress/EvacuationSubscriber.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

using Forwarding::Evacuation;
using Forwarding::EvacuationRegisters;
using Forwarding::RegisterResult;
using Forwarding::RegisterUpdate;
using Logging::LogEvent;
using Logging::LogFields;

namespace {

/// Source of an evacuation in log lines, where it is not the name of an instance.
constexpr std::string_view TableSource = "table";

} // namespace

EvacuationSubscriber::EvacuationSubscriber(std::string keyPrefix, Base::Scheduler &scheduler,
    Forwarding::ServerPool &serverPool, EvacuationTransport &transport,
    std::function<void()> onApplied, const Logging::Logger &log)
    : m_keyPrefix(std::move(keyPrefix))
    , m_scheduler(scheduler)
    , m_serverPool(serverPool)
    , m_transport(transport)
    , m_onApplied(std::move(onApplied))
    , m_log(log)
{
}

std::optional<Base::DataCentre> EvacuationSubscriber::dataCentreOf(std::string_view key) const
{
    if (!key.starts_with(m_keyPrefix))
        return std::nullopt;
    return Base::DataCentre(std::string(key.substr(m_keyPrefix.size())));
}

void EvacuationSubscriber::onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t version)
{
    std::vector<Evacuation> evacuated;
    for (const auto &row : rows) {
        if (const auto dataCentre = dataCentreOf(row.key))
            evacuated.push_back({*dataCentre, row.version, true});
    }
    m_scheduler.schedule(Base::Milliseconds(), [this, evacuated = std::move(evacuated), version] {
        onTableResults(m_registers.applySnapshot(evacuated, version));
    });
}

void EvacuationSubscriber::onChanges(const std::vector<Platform::RowChange> &changes)
{
    std::vector<Evacuation> updates;
    for (const auto &change : changes) {
        if (const auto dataCentre = dataCentreOf(change.key))
            updates.push_back({*dataCentre, change.version, change.value.has_value()});
    }
    if (updates.empty())
        return;
    m_scheduler.schedule(Base::Milliseconds(), [this, updates = std::move(updates)] {
        std::vector<RegisterResult> results;
        for (const auto &update : updates)
            results.push_back({update, m_registers.apply(update)});
        onTableResults(results);
    });
}

void EvacuationSubscriber::onTableResults(std::span<const RegisterResult> results)
{
    bool hasChanged = false;
    std::vector<std::string> unusable;
    for (const auto &[evacuation, update] : results) {
        if (update == RegisterUpdate::Applied) {
            hasChanged = true;
            onChanged(evacuation, TableSource);
        }
        if (update == RegisterUpdate::Rejected && evacuation.isEvacuated)
            unusable.push_back(evacuation.dataCentre.text());
    }
    if (!unusable.empty()) {
        m_log.warn(LogEvent::EvacuationUnusable,
            LogFields()
                .add("data_centre", unusable.front().substr(0, EvacuationRegisters::MaxNameBytes))
                .add("rows", unusable.size())
                .add("evacuated", m_registers.evacuatedCount()));
    }
    if (hasChanged)
        onRegistersChanged();
}

void EvacuationSubscriber::onPeerReport(
    const Base::InstanceName &from, std::span<const Evacuation> evacuations)
{
    bool hasChanged = false;
    bool isOutdated = false;
    const auto n = std::min(evacuations.size(), EvacuationRegisters::MaxRegisters);
    for (const auto &evacuation : evacuations.first(n)) {
        const auto result = m_registers.apply(evacuation);
        isOutdated = isOutdated || result == RegisterUpdate::Outdated;
        if (result == RegisterUpdate::Applied) {
            hasChanged = true;
            onChanged(evacuation, from.text());
        }
    }
    if (hasChanged)
        onRegistersChanged();
    if (isOutdated)
        m_transport.sendTo(from, m_registers.all());
}

void EvacuationSubscriber::onChanged(const Evacuation &evacuation, std::string_view source)
{
    m_serverPool.setEvacuated(evacuation.dataCentre, evacuation.isEvacuated, m_scheduler.now());
    m_log.info(LogEvent::EvacuationChanged,
        LogFields()
            .add("data_centre", evacuation.dataCentre.text())
            .add("evacuated", evacuation.isEvacuated)
            .add("version", evacuation.version)
            .add("source", source));
}

void EvacuationSubscriber::onRegistersChanged()
{
    m_onApplied();
    m_transport.sendToSome(m_registers.all());
}

} // namespace Carawaykeel::Ingress
