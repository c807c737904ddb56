#pragma once

#include <Carawaykeel/Forwarding/Evacuation.h>

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace Carawaykeel::Forwarding {

/// What became of an update of a register.
enum class RegisterUpdate {
    /// The register has a new state or a newer evacuation.
    Applied,
    /// The update tells nothing new.
    Known,
    /// The register is newer and one of the two is an evacuation, so that the sender of the update
    /// should learn the register.
    Outdated,
    /// The name is unusable, or all registers are in use by evacuations.
    Rejected,
};

/// An update of a register and what became of it.
struct RegisterResult
{
    Evacuation evacuation;
    RegisterUpdate update;
};

/// One register for each data centre that is or was evacuated. The higher version wins, so that
/// updates may arrive repeatedly and in any order.
class EvacuationRegisters
{
public:
    /// All registers fit into one datagram.
    static constexpr std::size_t MaxRegisters = 16;
    static constexpr std::size_t MaxNameBytes = 64;

    /// Applies an update from the table service or another instance. Where all registers are in
    /// use, the oldest one of a data centre that is not evacuated is replaced.
    RegisterUpdate apply(const Evacuation &update);

    /// Applies a snapshot of the table: the rows in `evacuated` exist, and a data centre without a
    /// row is not evacuated as of `version`. Returns the result for each row, and the registers
    /// whose evacuation is lifted.
    std::vector<RegisterResult> applySnapshot(
        std::span<const Evacuation> evacuated, std::uint64_t version);

    /// Returns all registers, in the order of the data centres' names.
    std::vector<Evacuation> all() const;

    std::size_t evacuatedCount() const;
    /// Returns the highest version of a register; 0 if there is none.
    std::uint64_t highestVersion() const;

    /// Returns true if the name may be that of a data centre.
    static bool isUsableName(const Base::DataCentre &dataCentre);

private:
    RegisterUpdate update(const Evacuation &evacuation);
    RegisterUpdate insert(const Evacuation &evacuation);
    bool makeRoomFor(const Evacuation &evacuation);

    std::map<Base::DataCentre, Evacuation> m_registers;
    /// Version of the last snapshot. A data centre without a register was not evacuated then.
    std::uint64_t m_snapshotVersion = 0;
};

} // namespace Carawaykeel::Forwarding
