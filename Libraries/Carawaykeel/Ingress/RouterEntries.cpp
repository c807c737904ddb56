// The part of Router that answers where callers connect to.
#include <Carawaykeel/Ingress/Router.h>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

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
    if (m_membership->hasJoined())
        m_entryPlanner.update(entryCandidates(), m_settings.entryCacheTime, m_reactor.now());
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
