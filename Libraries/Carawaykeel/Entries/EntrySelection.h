#pragma once

#include <Carawaykeel/Base/Identifier.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Entries {

/// An instance that callers may connect to.
struct EntryCandidate
{
    /// IP number and port for callers.
    std::string address;
    /// Requests per second that its VM can carry; 0 if unknown.
    std::uint32_t capacity = 0;
    /// Requests per second that it receives now.
    std::uint32_t load = 0;
    Base::DataCentre dataCentre = {};
    /// False when the load was not reported lately, so that it counts as 0.
    bool isLoadKnown = true;
};

/// Maximum number of addresses that callers use of one response.
inline constexpr std::size_t MaxEntryAddresses = 64;

/// Returns the addresses that callers of one data centre are given: those of the largest VMs, and
/// as many smaller ones as the current load requires. A caller keeps to one address for as long as
/// it may, so that a busy caller would overload a small VM, and each further VM needs its own part
/// of the teams' tokens and its own connections to the servers.
std::vector<std::string> selectEntryAddresses(std::vector<EntryCandidate> candidates);

/// Returns true for a VM that counts as large beside the largest one.
bool isLargeVm(std::uint32_t capacity, std::uint32_t largestCapacity);

/// Returns the requests per second that a VM can carry. `coreShare` is its share of one core,
/// `linkMbps` the bandwidth of its link in Mbit/s.
std::uint32_t estimateCapacity(double coreShare, double linkMbps);

} // namespace Carawaykeel::Entries
