#include <Carawaykeel/Entries/EntryPlanner.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

namespace Carawaykeel::Entries {

namespace {

/// With a single address, callers would have no other instance to use when that one fails.
constexpr std::size_t MinAddresses = 2;
/// Number of addresses in a drawn answer, at most. A caller keeps to one of them; the others serve
/// it when that one fails.
constexpr std::size_t MaxDrawnAddresses = 8;
/// A drawn answer names at most one in this many VMs. An answer with nearly all VMs would send as
/// many callers to the small ones as to the large ones.
constexpr std::size_t VmsPerDrawnAddress = 8;

/// Smallest weight of a VM, so that one whose load falls is found again.
constexpr double MinFreeShare = 0.1;

/// Returns how much of the VM is free, from MinFreeShare to 1.
double freeShare(const EntryCandidate &candidate)
{
    if (!candidate.isLoadKnown || candidate.capacity == 0)
        return 1;
    return std::max(1 - static_cast<double>(candidate.load) / candidate.capacity, MinFreeShare);
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Reduces the loads to those that the data centre's own callers cause. Callers of others would
/// otherwise drive them to the small VMs.
void scaleLoads(std::span<EntryCandidate> candidates, const DataCentrePlan &plan)
{
    const auto factor = std::min(ratio(plan.demand, plan.load), 1.0);
    for (auto &candidate : candidates)
        candidate.load = static_cast<std::uint32_t>(std::lround(candidate.load * factor));
}

} // namespace

EntryPlanner::EntryPlanner(const EntryPolicy &policy, Base::RandomEngine &random)
    : m_policy(policy)
    , m_random(random)
{
}

void EntryPlanner::readCandidates(std::span<const EntryCandidate> candidates)
{
    std::map<Base::DataCentre, DataCentrePlan> plans;
    DataCentreFigures knownCapacities;
    m_largestCapacity = 0;
    for (const auto &candidate : candidates)
        m_largestCapacity = std::max(m_largestCapacity, candidate.capacity);
    for (const auto &candidate : candidates) {
        auto &plan = plans[candidate.dataCentre];
        plan.capacity += candidate.capacity;
        const bool isLarge = isLargeVm(candidate.capacity, m_largestCapacity);
        (isLarge ? plan.largeCapacity : plan.smallCapacity) += candidate.capacity;
        if (candidate.isLoadKnown) {
            plan.load += candidate.load;
            knownCapacities[candidate.dataCentre] += candidate.capacity;
        }
    }
    for (auto &[name, plan] : plans) {
        // In a large fleet, only some of the members were heard of lately. The others are taken to
        // be used as much.
        if (const auto known = knownCapacities[name]; known > 0)
            plan.load *= plan.capacity / known;
        if (const auto it = m_plans.find(name); it != m_plans.end()) {
            plan.isOverflowing = it->second.isOverflowing;
            plan.localShare = it->second.localShare;
        }
    }
    m_plans = std::move(plans);
}

void EntryPlanner::update(std::span<const EntryCandidate> candidates, Base::Milliseconds cacheTime,
    Base::Milliseconds now)
{
    readCandidates(candidates);
    DataCentreFigures loads;
    double load = 0;
    double capacity = 0;
    for (const auto &[name, plan] : m_plans) {
        loads[name] = plan.load;
        load += plan.load;
        capacity += plan.capacity;
    }
    const auto utilisation = ratio(load, capacity);
    const auto smallVmFactor =
        std::clamp(utilisation * utilisation, m_policy.minSmallVmFactor, 1.0);
    double plannedCapacity = 0;
    for (auto &[name, plan] : m_plans) {
        plan.smallCapacity *= smallVmFactor;
        plannedCapacity += plan.plannedCapacity();
    }
    const Base::Milliseconds answerLag(static_cast<std::int64_t>(
        static_cast<double>(cacheTime.count()) * m_policy.answerLagFactor));
    m_demand.update(loads, answerLag, now);
    for (auto &[name, plan] : m_plans)
        plan.demand = m_demand.demands().at(name);
    measureUsualAnswers(candidates);
    const auto elapsed = static_cast<double>((now - std::exchange(m_updatedAt, now)).count());
    planOverflow(ratio(load, plannedCapacity),
        std::exp(-elapsed / static_cast<double>(m_policy.returnTime.count())));
    std::map<Base::DataCentre, DataCentreFigures> shares;
    for (const auto &[name, plan] : m_plans) {
        auto &row = shares[name];
        row[name] = plan.localShare;
        for (const auto &[other, share] : plan.largeShares)
            row[other] += share;
        for (const auto &[other, share] : plan.smallShares)
            row[other] += share;
    }
    m_demand.setShares(std::move(shares));
}

void EntryPlanner::measureUsualAnswers(std::span<const EntryCandidate> candidates)
{
    std::map<Base::DataCentre, std::vector<EntryCandidate>> vms;
    for (const auto &candidate : candidates)
        vms[candidate.dataCentre].push_back({"", candidate.capacity});
    for (auto &[name, local] : vms) {
        auto &plan = m_plans.at(name);
        std::ranges::sort(local, std::greater<>(), &EntryCandidate::capacity);
        local.front().load = static_cast<std::uint32_t>(std::lround(plan.demand));
        const auto count = selectEntryAddresses(local).size();
        plan.smallestUtilisation =
            ratio(plan.demand / static_cast<double>(count), local.at(count - 1).capacity);
    }
}

bool EntryPlanner::isDrawingNeeded(const DataCentrePlan &plan) const
{
    const auto utilisation =
        plan.isOverflowing ? m_policy.returnUtilisation : m_policy.localUtilisation;
    const auto smallestUtilisation =
        plan.isOverflowing ? m_policy.returnSmallestUtilisation : m_policy.maxSmallestUtilisation;
    return plan.capacity > 0
        && (plan.demand > utilisation * plan.capacity
            || plan.smallestUtilisation > smallestUtilisation);
}

void EntryPlanner::planOverflow(double fleetUtilisation, double slowReturn)
{
    // Above these utilisations all data centres are used equally.
    const auto localLimit = std::max(m_policy.localUtilisation, fleetUtilisation);
    const auto remoteLimit = std::max(m_policy.remoteUtilisation, fleetUtilisation);
    m_hasOverflow = false;
    double overflow = 0;
    double largeRoom = 0;
    double smallRoom = 0;
    DataCentreFigures largeRooms;
    DataCentreFigures smallRooms;
    for (auto &[name, plan] : m_plans) {
        const bool isNeeded = isDrawingNeeded(plan);
        const auto needed =
            isNeeded ? std::min(localLimit * plan.plannedCapacity() / plan.demand, 1.0) : 1.0;
        plan.localShare = std::min(needed, 1 - (1 - plan.localShare) * slowReturn);
        constexpr double NegligibleShare = 0.01;
        plan.isOverflowing = isNeeded || plan.localShare < 1 - NegligibleShare;
        if (!plan.isOverflowing)
            plan.localShare = 1;
        overflow += plan.demand * (1 - plan.localShare);
        m_hasOverflow = m_hasOverflow || plan.isOverflowing;
        const auto used = plan.demand * plan.localShare;
        const auto large = std::max(remoteLimit * plan.largeCapacity - used, 0.0);
        const auto all = std::max(remoteLimit * plan.plannedCapacity() - used, 0.0);
        largeRooms[name] = large;
        smallRooms[name] = std::max(all - large, 0.0);
        largeRoom += largeRooms[name];
        smallRoom += smallRooms[name];
    }
    // Large VMs come first, since a busy caller overloads a small one.
    const auto toLarge = ratio(std::min(overflow, largeRoom), overflow);
    for (auto &[name, plan] : m_plans) {
        const auto otherLarge = largeRoom - largeRooms[name];
        const auto otherSmall = smallRoom - smallRooms[name];
        if (otherLarge + otherSmall <= 0)
            plan.localShare = 1;
        const auto remoteShare = 1 - plan.localShare;
        if (remoteShare <= 0)
            continue;
        const auto largeShare = otherLarge <= 0 ? 0 : remoteShare * (otherSmall > 0 ? toLarge : 1);
        for (const auto &[other, room] : largeRooms) {
            if (other != name && room > 0)
                plan.largeShares[other] = largeShare * room / otherLarge;
        }
        for (const auto &[other, room] : smallRooms) {
            if (other != name && room > 0)
                plan.smallShares[other] = (remoteShare - largeShare) * room / otherSmall;
        }
    }
}

std::vector<std::string> EntryPlanner::selectAddresses(
    const Base::DataCentre &dataCentre, std::span<const EntryCandidate> candidates)
{
    std::vector<EntryCandidate> local;
    for (const auto &candidate : candidates) {
        if (candidate.dataCentre == dataCentre)
            local.push_back(candidate);
    }
    if (local.size() < MinAddresses)
        return selectEntryAddresses({candidates.begin(), candidates.end()});
    const auto it = m_plans.find(dataCentre);
    if (it == m_plans.end() || !it->second.isOverflowing) {
        if (it != m_plans.end() && m_hasOverflow)
            scaleLoads(local, it->second);
        return selectEntryAddresses(std::move(local));
    }
    auto addresses = drawAddresses(dataCentre, it->second, candidates);
    // VMs of unknown capacity are not drawn.
    return addresses.size() < MinAddresses ? selectEntryAddresses(std::move(local)) : addresses;
}

double EntryPlanner::shareOf(const Base::DataCentre &from, const DataCentrePlan &plan,
    const Base::DataCentre &to, bool isLarge)
{
    if (from == to) {
        const auto capacity = isLarge ? plan.largeCapacity : plan.smallCapacity;
        return plan.localShare * ratio(capacity, plan.plannedCapacity());
    }
    const auto &shares = isLarge ? plan.largeShares : plan.smallShares;
    const auto it = shares.find(to);
    return it == shares.end() ? 0 : it->second;
}

std::vector<std::string> EntryPlanner::drawAddresses(const Base::DataCentre &dataCentre,
    const DataCentrePlan &plan, std::span<const EntryCandidate> candidates)
{
    // The VMs by data centre and size, with the weights among them.
    std::vector<double> weights;
    std::map<std::pair<Base::DataCentre, bool>, double> sums;
    for (const auto &candidate : candidates) {
        const bool isLarge = isLargeVm(candidate.capacity, m_largestCapacity);
        weights.push_back(candidate.capacity * freeShare(candidate));
        sums[{candidate.dataCentre, isLarge}] += weights.back();
    }
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto &candidate = candidates[n];
        const bool isLarge = isLargeVm(candidate.capacity, m_largestCapacity);
        const auto share = shareOf(dataCentre, plan, candidate.dataCentre, isLarge);
        weights[n] *= ratio(share, sums[{candidate.dataCentre, isLarge}]);
    }
    const auto count =
        std::clamp(candidates.size() / VmsPerDrawnAddress, MinAddresses, MaxDrawnAddresses);
    std::vector<std::string> addresses;
    while (addresses.size() < count
        && std::ranges::any_of(weights, [](double weight) { return weight > 0; })) {
        std::discrete_distribution<std::size_t> distribution(weights.begin(), weights.end());
        const auto n = distribution(m_random);
        weights[n] = 0;
        addresses.push_back(candidates[n].address);
    }
    return addresses;
}

} // namespace Carawaykeel::Entries
