#include <Carawaykeel/Budget/TeamHolders.h>

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace Carawaykeel::Budget {

std::vector<Base::InstanceId> selectHolders(
    const Base::TeamId &team, std::vector<Base::InstanceId> instances, std::size_t count)
{
    if (instances.size() <= count)
        return instances;
    const auto seed = XXH64(team.text().data(), team.text().size(), 0);
    const auto rank = [seed](const Base::InstanceId &instance) {
        const auto &name = instance.name.text();
        return XXH64(name.data(), name.size(), seed);
    };
    const auto middle = instances.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(instances, middle, std::greater<>(), rank);
    instances.erase(middle, instances.end());
    return instances;
}

} // namespace Carawaykeel::Budget
