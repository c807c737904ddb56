#include "BaselineSchemes.h"

#include "PolicyRun.h"

#include <algorithm>
#include <map>
#include <random>

namespace Carawaykeel::Benchmarks {

namespace {

constexpr std::int64_t LeaseTime = 60'000;
constexpr std::int64_t LeaseUses = 40;
/// Between the check of a lease and the sending of the request a holder may be paused.
constexpr double PausedShare = 0.5;

/// One request of the common workload.
struct Arrival
{
    std::int64_t when;
    int team;
    int instance;
    std::int64_t used;
};

/// One team's budget under a scheme.
struct Pool
{
    std::int64_t toppedUp = 0;
    std::int64_t free = 0;
    std::int64_t produced = 0;
    /// What each instance holds, and until when, for leases.
    std::map<int, std::int64_t> held;
    std::map<int, std::int64_t> until;
};

class BaselineRun
{
public:
    BaselineRun(Baseline baseline, const PolicyScenario &scenario, std::uint64_t seed)
        : m_baseline(baseline)
        , m_scenario(scenario)
        , m_random(seed)
        , m_pools(static_cast<std::size_t>(scenario.teams))
    {
        for (auto &pool : m_pools) {
            pool.toppedUp = pool.free = scenario.eachBudget().count();
            if (baseline != Baseline::EqualSplit)
                continue;
            for (int n = 0; n < scenario.instances; ++n)
                pool.held[n] = pool.free / scenario.instances;
            pool.free = 0;
        }
    }

    PolicyFigures run()
    {
        double now = 0;
        std::exponential_distribution<double> gap(m_scenario.requestsPerSecond / 1'000);
        while ((now += gap(m_random)) < static_cast<double>(m_scenario.span.count()))
            take(draw(static_cast<std::int64_t>(now)));
        for (const auto &pool : m_pools) {
            m_figures.overspend +=
                Base::Tokens(std::max<std::int64_t>(0, pool.produced - pool.toppedUp));
        }
        m_figures.writesPerSecond =
            static_cast<double>(m_writes) * 1'000 / static_cast<double>(m_scenario.span.count());
        return m_figures;
    }

private:
    Arrival draw(std::int64_t when)
    {
        std::uniform_int_distribution<int> team(0, m_scenario.teams - 1);
        std::uniform_int_distribution<int> instance(0, m_scenario.instances - 1);
        std::uniform_int_distribution<std::int64_t> used(
            PolicyScenario::LeastUsed, PolicyScenario::MostUsed);
        Arrival arrival{when, team(m_random), instance(m_random), used(m_random)};
        if (!m_scenario.isHot)
            arrival.instance = (arrival.team + arrival.instance % 3) % m_scenario.instances;
        return arrival;
    }

    bool isInTrouble(std::int64_t when) const
    {
        return when >= TroubleTimes::Begin && when < TroubleTimes::End;
    }

    bool reachesPlatform(const Arrival &arrival) const
    {
        if (!isInTrouble(arrival.when))
            return true;
        const bool isCutSide = arrival.instance % 3 == 0;
        switch (m_scenario.trouble) {
        case Trouble::PlatformOutage:
            return false;
        case Trouble::Partition:
        case Trouble::PartitionWithTopUps:
            return !isCutSide;
        default:
            return true;
        }
    }

    void take(const Arrival &arrival)
    {
        ++m_figures.requests;
        auto &pool = m_pools[static_cast<std::size_t>(arrival.team)];
        const auto worst = PolicyScenario::WorstCase.count();
        if (!tryReserve(pool, arrival, worst)) {
            ++m_figures.refused;
            m_figures.falseRefusals += pool.toppedUp - pool.produced >= worst ? 1 : 0;
            return;
        }
        ++m_figures.whole;
        pool.produced += arrival.used;
    }

    bool tryReserve(Pool &pool, const Arrival &arrival, std::int64_t worst)
    {
        switch (m_baseline) {
        case Baseline::TransactionEach:
            m_writes += 2;
            if (!reachesPlatform(arrival) || pool.free < worst)
                return false;
            pool.free -= arrival.used;
            return true;
        case Baseline::EqualSplit:
            if (pool.held[arrival.instance] < worst)
                return false;
            pool.held[arrival.instance] -= arrival.used;
            return true;
        case Baseline::ExpiringLeases:
            break;
        }
        return tryLease(pool, arrival, worst);
    }

    bool tryLease(Pool &pool, const Arrival &arrival, std::int64_t worst)
    {
        // Leases that have run out go back to the pool, wherever their holders are.
        for (auto &[instance, until] : pool.until) {
            if (until > arrival.when)
                continue;
            pool.free += pool.held[instance];
            pool.held[instance] = 0;
        }
        auto &held = pool.held[arrival.instance];
        if (held < worst && reachesPlatform(arrival)) {
            const auto size = std::min(pool.free, worst * LeaseUses);
            pool.free -= size;
            held += size;
            pool.until[arrival.instance] = arrival.when + LeaseTime;
            ++m_writes;
        }
        if (held < worst)
            return false;
        held -= arrival.used;
        // A holder that was paused between its check and its send spends what has been given back.
        const bool isPausedPastTheEnd = m_scenario.trouble == Trouble::Pauses
            && pool.until[arrival.instance] - arrival.when < TroubleTimes::Pause
            && std::bernoulli_distribution(PausedShare * TroubleTimes::Pause
                / TroubleTimes::PauseGap / m_scenario.instances)(m_random);
        if (isPausedPastTheEnd)
            pool.free += arrival.used;
        return true;
    }

    const Baseline m_baseline;
    const PolicyScenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<Pool> m_pools;
    std::uint64_t m_writes = 0;
    PolicyFigures m_figures;
};

} // namespace

std::string nameOf(Baseline baseline)
{
    switch (baseline) {
    case Baseline::TransactionEach:
        return "a transaction for each request";
    case Baseline::EqualSplit:
        return "static equal split";
    case Baseline::ExpiringLeases:
        break;
    }
    return "expiring leases";
}

PolicyFigures runBaseline(Baseline baseline, const PolicyScenario &scenario, std::uint64_t seed)
{
    return BaselineRun(baseline, scenario, seed).run();
}

} // namespace Carawaykeel::Benchmarks
