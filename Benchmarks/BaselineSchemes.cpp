#include "BaselineSchemes.h"

#include "PolicyRun.h"

#include <algorithm>
#include <map>
#include <random>

namespace Carawaykeel::Benchmarks {

namespace {

constexpr std::int64_t LeaseMilliseconds = 60'000;
constexpr std::int64_t RequestsPerLease = 40;
/// Share of the pauses that fall between a holder's check of its lease and the sending of the
/// request.
constexpr double PausedAfterCheckShare = 0.5;

/// A request of the workload that all schemes share.
struct Arrival
{
    std::int64_t arrivesAt;
    int team;
    int instance;
    std::int64_t used;
};

/// One team's budget under a scheme.
struct Pool
{
    std::int64_t toppedUp = 0;
    std::int64_t available = 0;
    std::int64_t produced = 0;
    /// Tokens that each instance holds.
    std::map<int, std::int64_t> held;
    /// Expiry of each instance's lease; unused by the other schemes.
    std::map<int, std::int64_t> leaseExpiry;
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
            pool.toppedUp = pool.available = scenario.budgetPerTeam().count();
            if (baseline != Baseline::EqualSplit)
                continue;
            for (int n = 0; n < scenario.instances; ++n)
                pool.held[n] = pool.available / scenario.instances;
            pool.available = 0;
        }
    }

    PolicyFigures run()
    {
        double now = 0;
        std::exponential_distribution<double> gap(m_scenario.requestsPerSecond / 1'000);
        while ((now += gap(m_random)) < static_cast<double>(m_scenario.span.count()))
            processRequest(drawArrival(static_cast<std::int64_t>(now)));
        for (const auto &pool : m_pools) {
            m_figures.overspend +=
                Base::Tokens(std::max<std::int64_t>(0, pool.produced - pool.toppedUp));
        }
        m_figures.writesPerSecond =
            static_cast<double>(m_writes) * 1'000 / static_cast<double>(m_scenario.span.count());
        return m_figures;
    }

private:
    Arrival drawArrival(std::int64_t arrivesAt)
    {
        std::uniform_int_distribution<int> team(0, m_scenario.teams - 1);
        std::uniform_int_distribution<int> instance(0, m_scenario.instances - 1);
        std::uniform_int_distribution<std::int64_t> used(
            PolicyScenario::MinUsed, PolicyScenario::MaxUsed);
        Arrival arrival{arrivesAt, team(m_random), instance(m_random), used(m_random)};
        if (!m_scenario.isHotBudget)
            arrival.instance = (arrival.team + arrival.instance % 3) % m_scenario.instances;
        return arrival;
    }

    bool isDuringFault(std::int64_t arrivesAt) const
    {
        return arrivesAt >= FaultTimes::Start && arrivesAt < FaultTimes::End;
    }

    bool canReachPlatform(const Arrival &arrival) const
    {
        if (!isDuringFault(arrival.arrivesAt))
            return true;
        const bool isCutOff = arrival.instance % 3 == 0;
        switch (m_scenario.fault) {
        case Fault::PlatformOutage:
            return false;
        case Fault::Partition:
        case Fault::PartitionWithTopUps:
            return !isCutOff;
        default:
            return true;
        }
    }

    void processRequest(const Arrival &arrival)
    {
        ++m_figures.requests;
        auto &pool = m_pools[static_cast<std::size_t>(arrival.team)];
        const auto worstCase = PolicyScenario::WorstCase.count();
        if (!tryReserve(pool, arrival, worstCase)) {
            ++m_figures.refused;
            m_figures.falseRefusals += pool.toppedUp - pool.produced >= worstCase ? 1 : 0;
            return;
        }
        ++m_figures.completed;
        pool.produced += arrival.used;
    }

    bool tryReserve(Pool &pool, const Arrival &arrival, std::int64_t worstCase)
    {
        switch (m_baseline) {
        case Baseline::TransactionPerRequest:
            m_writes += 2;
            if (!canReachPlatform(arrival) || pool.available < worstCase)
                return false;
            pool.available -= arrival.used;
            return true;
        case Baseline::EqualSplit:
            if (pool.held[arrival.instance] < worstCase)
                return false;
            pool.held[arrival.instance] -= arrival.used;
            return true;
        case Baseline::ExpiringLeases:
            break;
        }
        return tryLease(pool, arrival, worstCase);
    }

    bool tryLease(Pool &pool, const Arrival &arrival, std::int64_t worstCase)
    {
        // The tokens of expired leases return to the pool even if the holder is unreachable.
        for (auto &[instance, leaseExpiry] : pool.leaseExpiry) {
            if (leaseExpiry > arrival.arrivesAt)
                continue;
            pool.available += pool.held[instance];
            pool.held[instance] = 0;
        }
        auto &held = pool.held[arrival.instance];
        if (held < worstCase && canReachPlatform(arrival)) {
            const auto size = std::min(pool.available, worstCase * RequestsPerLease);
            pool.available -= size;
            held += size;
            pool.leaseExpiry[arrival.instance] = arrival.arrivesAt + LeaseMilliseconds;
            ++m_writes;
        }
        if (held < worstCase)
            return false;
        held -= arrival.used;
        // A holder that is paused between check and send spends tokens that have already returned
        // to the pool.
        const bool isPausedPastExpiry = m_scenario.fault == Fault::Pauses
            && pool.leaseExpiry[arrival.instance] - arrival.arrivesAt < FaultTimes::PauseDuration
            && std::bernoulli_distribution(PausedAfterCheckShare * FaultTimes::PauseDuration
                / FaultTimes::PauseInterval / m_scenario.instances)(m_random);
        if (isPausedPastExpiry)
            pool.available += arrival.used;
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
    case Baseline::TransactionPerRequest:
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
