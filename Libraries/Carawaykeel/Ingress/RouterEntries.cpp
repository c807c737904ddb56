// The part of Router that answers where callers connect to.
#include <Carawaykeel/Ingress/Router.h>

#include <cmath>
#include <fmt/core.h>
#include <map>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

constexpr double Percent = 100;

} // namespace

std::vector<Entries::EntryCandidate> Router::entryCandidates() const
{
    std::vector<Entries::EntryCandidate> candidates;
    for (const auto &member : m_membership->servingMembers()) {
        const auto load = m_membership->loadOf(member.id.name);
        candidates.push_back({member.callerAddress, member.capacity, load.value_or(0),
            member.dataCentre, load.has_value()});
    }
    return candidates;
}

void Router::updateEntryPlan()
{
    if (!m_membership->hasJoined())
        return;
    std::map<Base::DataCentre, bool> wasDrawn;
    for (const auto &[name, plan] : m_entryPlanner.plans())
        wasDrawn[name] = plan.isOverflowing;
    m_entryPlanner.update(entryCandidates(), m_settings.entryCacheTime, m_reactor.now());
    for (const auto &[name, plan] : m_entryPlanner.plans()) {
        if (wasDrawn[name] == plan.isOverflowing)
            continue;
        m_log.info(LogEvent::EntryPlanChanged,
            LogFields()
                .add("data_centre", name.text())
                .add("drawn", plan.isOverflowing)
                .add("demand", std::lround(plan.demand))
                .add("load", std::lround(plan.load))
                .add("capacity", std::lround(plan.capacity))
                .add("local_percent", std::lround(plan.localShare * Percent)));
    }
}

void Router::writeEntryMetrics(Metrics::PrometheusWriter &writer) const
{
    const auto write = [&](std::string_view name, std::string_view help, auto figure) {
        writer.writeHeader(name, help, "gauge");
        for (const auto &[dataCentre, plan] : m_entryPlanner.plans()) {
            writer.writeSample(name, fmt::format("data_centre=\"{}\"", dataCentre.text()),
                std::lround(figure(plan)));
        }
    };
    write("entry_demand", "Estimated requests per second of a data centre's callers.",
        [](const Entries::DataCentrePlan &plan) { return plan.demand; });
    write("entry_capacity", "Requests per second that a data centre's VMs can carry.",
        [](const Entries::DataCentrePlan &plan) { return plan.capacity; });
    write("entry_local_percent", "Share of the callers that are sent to their own data centre.",
        [](const Entries::DataCentrePlan &plan) { return plan.localShare * Percent; });
}

EntryResponse Router::entryResponseFor(const Forwarding::EntryQuery &query)
{
    // Before joining, only a few instances are known. Callers of many data centres would all be
    // sent to them.
    if (!m_membership->hasJoined())
        return {};
    const auto candidates = entryCandidates();
    const EntryResponse response{
        m_entryPlanner.selectAddresses(query.dataCentre, candidates), m_settings.entryCacheTime};
    m_log.routineInfo(LogEvent::EntryAnswered,
        LogFields()
            .add("data_centre", query.dataCentre.text())
            .add("addresses", response.addresses.size())
            .add("serving", candidates.size())
            .add("known", m_membership->knownInstances()));
    return response;
}

} // namespace Carawaykeel::Ingress
