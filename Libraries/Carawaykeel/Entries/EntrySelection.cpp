#include <Carawaykeel/Entries/EntrySelection.h>

#include <algorithm>
#include <tuple>

namespace Carawaykeel::Entries {

namespace {

/// VMs are added until the load is at most this part of their capacity.
constexpr double TargetUtilisation = 0.6;
/// With a single address, callers would have no other instance to use when that one fails.
constexpr std::size_t MinAddresses = 2;
/// A VM with more than this part of the largest VM's capacity counts as large too.
constexpr double LargeVmRatio = 0.5;

/// Processor time and bytes on the link, in both directions together, of one request.
constexpr double RequestsPerCoreSecond = 400;
constexpr double MegabitsPerRequest = 0.4;

} // namespace

std::vector<std::string> selectEntryAddresses(std::vector<EntryCandidate> candidates)
{
    std::ranges::sort(candidates, [](const EntryCandidate &a, const EntryCandidate &b) {
        return std::tie(b.capacity, a.address) < std::tie(a.capacity, b.address);
    });
    double load = 0;
    for (const auto &candidate : candidates)
        load += candidate.load;
    std::vector<std::string> addresses;
    double capacity = 0;
    for (const auto &candidate : candidates) {
        const bool isLarge = isLargeVm(candidate.capacity, candidates.front().capacity);
        const bool isNeeded =
            addresses.size() < MinAddresses || capacity * TargetUtilisation < load;
        if (addresses.size() >= MaxEntryAddresses || (!isLarge && !isNeeded))
            break;
        addresses.push_back(candidate.address);
        capacity += candidate.capacity;
    }
    return addresses;
}

bool isLargeVm(std::uint32_t capacity, std::uint32_t largestCapacity)
{
    return capacity >= LargeVmRatio * largestCapacity;
}

std::uint32_t estimateCapacity(double coreShare, double linkMbps)
{
    return static_cast<std::uint32_t>(
        std::min(coreShare * RequestsPerCoreSecond, linkMbps / MegabitsPerRequest));
}

} // namespace Carawaykeel::Entries
