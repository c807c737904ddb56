#include <Carawaykeel/Routing/ServerSelection.h>

#include <algorithm>
#include <cmath>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Carawaykeel::Routing {

namespace {

/// The servers that may be taken now, by index.
std::vector<std::size_t> eligibleServers(std::span<const ServerState> servers,
    const ServerPreference &hint, const RoutingPolicy &policy, Base::Milliseconds now)
{
    std::vector<std::size_t> healthy;
    std::vector<std::size_t> ejected;
    for (std::size_t n = 0; n < servers.size(); ++n) {
        if (servers[n].isLeaving)
            continue;
        (servers[n].ejectedUntil > now ? ejected : healthy).push_back(n);
    }
    const auto floor = static_cast<std::size_t>(
        std::ceil(policy.minServerShare * static_cast<double>(healthy.size() + ejected.size())));
    // Below the floor the servers whose ejection ends first are taken back.
    std::sort(ejected.begin(), ejected.end(), [&](auto left, auto right) {
        return servers[left].ejectedUntil < servers[right].ejectedUntil;
    });
    for (std::size_t n = 0; healthy.size() < floor && n < ejected.size(); ++n)
        healthy.push_back(ejected[n]);
    std::erase_if(healthy, [&](auto n) { return !servers[n].hasFreeSlot(); });
    const bool hasOther = healthy.size() > 1;
    if (hasOther)
        std::erase_if(healthy, [&](auto n) { return servers[n].name == hint.failedServer; });
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

double loadOf(const ServerState &server, const RoutingPolicy &policy, Base::Milliseconds now)
{
    const auto age = static_cast<double>((now - server.reportedAt).count());
    const auto weight = std::exp2(-age / static_cast<double>(policy.loadHalfLife.count()));
    const auto own = static_cast<double>(server.inFlight) / std::max(1, server.capacity);
    return own + weight * server.reportedLoad;
}

std::optional<std::size_t> selectServer(std::span<const ServerState> servers,
    const ServerPreference &hint, const RoutingPolicy &policy, Base::Milliseconds now,
    Base::RandomEngine &random)
{
    const auto eligible = eligibleServers(servers, hint, policy, now);
    if (eligible.empty())
        return std::nullopt;
    double sum = 0;
    for (const auto n : eligible)
        sum += loadOf(servers[n], policy, now);
    const auto bound = policy.affinityLoadBound * sum / static_cast<double>(eligible.size());
    if (hint.prefixHash != 0) {
        const auto favourite =
            *std::max_element(eligible.begin(), eligible.end(), [&](auto left, auto right) {
                return rendezvousWeight(hint.prefixHash, servers[left].name.text())
                    < rendezvousWeight(hint.prefixHash, servers[right].name.text());
            });
        if (loadOf(servers[favourite], policy, now) <= bound)
            return favourite;
    }
    std::uniform_int_distribution<std::size_t> draw(0, eligible.size() - 1);
    const auto first = eligible[draw(random)];
    const auto second = eligible[draw(random)];
    const bool isFirstFreer =
        loadOf(servers[first], policy, now) <= loadOf(servers[second], policy, now);
    return isFirstFreer ? first : second;
}

} // namespace Carawaykeel::Routing
