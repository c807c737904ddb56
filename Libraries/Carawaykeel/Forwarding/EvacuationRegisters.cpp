#include <Carawaykeel/Forwarding/EvacuationRegisters.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

bool EvacuationRegisters::isUsableName(const Base::DataCentre &dataCentre)
{
    return !dataCentre.isEmpty() && dataCentre.text().size() <= MaxNameBytes;
}

RegisterUpdate EvacuationRegisters::apply(const Evacuation &evacuation)
{
    const bool precedesSnapshot = evacuation.isEvacuated && evacuation.version <= m_snapshotVersion;
    if (!precedesSnapshot || m_registers.contains(evacuation.dataCentre)
        || !isUsableName(evacuation.dataCentre))
        return update(evacuation);
    // The snapshot did not list the data centre, or there was no room for it. With a register, the
    // reply to the sender contains it.
    const auto inserted = insert({evacuation.dataCentre, m_snapshotVersion, false});
    return inserted == RegisterUpdate::Rejected ? inserted : RegisterUpdate::Outdated;
}

RegisterUpdate EvacuationRegisters::update(const Evacuation &evacuation)
{
    if (!isUsableName(evacuation.dataCentre))
        return RegisterUpdate::Rejected;
    const auto it = m_registers.find(evacuation.dataCentre);
    if (it == m_registers.end())
        return insert(evacuation);
    auto &known = it->second;
    if (!evacuation.isEvacuated && !known.isEvacuated) {
        // Instances read snapshots of different versions; telling each other of these would cause
        // datagrams without end.
        known.version = std::max(known.version, evacuation.version);
        return RegisterUpdate::Known;
    }
    if (evacuation.version < known.version)
        return RegisterUpdate::Outdated;
    if (evacuation.version == known.version)
        return RegisterUpdate::Known;
    known = evacuation;
    return RegisterUpdate::Applied;
}

RegisterUpdate EvacuationRegisters::insert(const Evacuation &evacuation)
{
    if (m_registers.size() >= MaxRegisters && !makeRoomFor(evacuation))
        return RegisterUpdate::Rejected;
    m_registers.emplace(evacuation.dataCentre, evacuation);
    return evacuation.isEvacuated ? RegisterUpdate::Applied : RegisterUpdate::Known;
}

bool EvacuationRegisters::makeRoomFor(const Evacuation &evacuation)
{
    auto oldest = m_registers.end();
    for (auto it = m_registers.begin(); it != m_registers.end(); ++it) {
        const auto &candidate = it->second;
        if (candidate.isEvacuated)
            continue;
        if (oldest == m_registers.end() || candidate.version < oldest->second.version)
            oldest = it;
    }
    // Of lifted evacuations, all instances keep the latest, so that they do not replace each
    // other's registers in turn.
    const bool isReplaced = oldest != m_registers.end()
        && (evacuation.isEvacuated || oldest->second.version < evacuation.version);
    if (isReplaced)
        m_registers.erase(oldest);
    return isReplaced;
}

std::vector<RegisterResult> EvacuationRegisters::applySnapshot(
    std::span<const Evacuation> evacuated, std::uint64_t version)
{
    std::vector<RegisterResult> results;
    for (auto &[dataCentre, known] : m_registers) {
        const bool isListed =
            std::ranges::find(evacuated, dataCentre, &Evacuation::dataCentre) != evacuated.end();
        if (isListed || known.version >= version)
            continue;
        const bool wasEvacuated = known.isEvacuated;
        known = {dataCentre, version, false};
        if (wasEvacuated)
            results.push_back({known, RegisterUpdate::Applied});
    }
    for (const auto &evacuation : evacuated)
        results.push_back({evacuation, update(evacuation)});
    m_snapshotVersion = std::max(m_snapshotVersion, version);
    return results;
}

std::vector<Evacuation> EvacuationRegisters::all() const
{
    std::vector<Evacuation> registers;
    for (const auto &[dataCentre, known] : m_registers)
        registers.push_back(known);
    return registers;
}

std::size_t EvacuationRegisters::evacuatedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_registers, [](const auto &item) { return item.second.isEvacuated; }));
}

std::uint64_t EvacuationRegisters::highestVersion() const
{
    std::uint64_t highest = 0;
    for (const auto &[dataCentre, known] : m_registers)
        highest = std::max(highest, known.version);
    return highest;
}

} // namespace Carawaykeel::Forwarding
