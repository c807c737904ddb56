#include <Carawaykeel/Routing/ServerSelection.h>

#include <algorithm>
#include <cmath>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Carawaykeel::Routing {

namespace {

/// Returns the indices of the servers that may be selected now.
std::vector<std::size_t> eligibleServers(std::span<const ServerState> servers,
    const ServerPreference &preference, const RoutingPolicy &policy, Base::Milliseconds now)
{
    std::vector<std::size_t> healthy;
    std::vector<std::size_t> ejected;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        if (!servers[n].isEligible())
            continue;
        (servers[n].ejectedUntil > now ? ejected : healthy).push_back(n);
    }
    const auto minServers = static_cast<std::size_t>(
        std::ceil(policy.minServerShare * static_cast<double>(healthy.size() + ejected.size())));
    // With too few healthy servers, the ejected ones whose ejection ends first stay eligible.
    std::sort(ejected.begin(), ejected.end(), [&](auto left, auto right) {
        return servers[left].ejectedUntil < servers[right].ejectedUntil;
    });
    for (std::size_t n = 0; healthy.size() < minServers && n < ejected.size(); ++n)
        healthy.push_back(ejected[n]);
    std::erase_if(healthy, [&](auto n) { return !servers[n].hasFreeSlot(); });
    const bool hasAlternative = healthy.size() > 1;
    if (hasAlternative)
        std::erase_if(healthy, [&](auto n) { return servers[n].name == preference.failedServer; });
    return healthy;
}

} // namespace

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::uint64_t prefixHash, std::string_view name)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), prefixHash);
}

double effectiveLoad(const ServerState &server, const RoutingPolicy &policy, Base::Milliseconds now)
{
    const auto age = static_cast<double>((now - server.reportedAt).count());
    const auto weight = std::exp2(-age / static_cast<double>(policy.loadHalfLife.count()));
    const auto ownLoad = static_cast<double>(server.inFlight) / std::max(1, server.capacity);
    return ownLoad + weight * server.reportedLoad;
}

std::optional<std::size_t> selectServer(std::span<const ServerState> servers,
    const ServerPreference &preference, const RoutingPolicy &policy, Base::Milliseconds now,
    Base::RandomEngine &random)
{
    const auto eligible = eligibleServers(servers, preference, policy, now);
    if (eligible.empty())
        return std::nullopt;
    double totalLoad = 0;
    for (const auto n : eligible)
        totalLoad += effectiveLoad(servers[n], policy, now);
    const auto bound = policy.affinityLoadBound * totalLoad / static_cast<double>(eligible.size());
    if (preference.prefixHash != 0) {
        const auto preferred =
            *std::max_element(eligible.begin(), eligible.end(), [&](auto left, auto right) {
                return rendezvousWeight(preference.prefixHash, servers[left].name.text())
                    < rendezvousWeight(preference.prefixHash, servers[right].name.text());
            });
        if (effectiveLoad(servers[preferred], policy, now) <= bound)
            return preferred;
    }
    std::uniform_int_distribution<std::size_t> randomIndex(0, eligible.size() - 1);
    const auto first = eligible[randomIndex(random)];
    const auto second = eligible[randomIndex(random)];
    const bool isFirstLessLoaded =
        effectiveLoad(servers[first], policy, now) <= effectiveLoad(servers[second], policy, now);
    return isFirstLessLoaded ? first : second;
}

} // namespace Carawaykeel::Routing
