#include "PolicyRun.h"

#include <Support/VirtualFleet.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <fmt/core.h>
#include <map>

namespace Carawaykeel::Benchmarks {

namespace {

using Tests::CallerResult;
using Tests::VirtualFleet;

constexpr std::int64_t StrandedProbeInterval = 5'000;
constexpr double DecisionPercentile = 0.99;

/// The actual use of one budget, recorded independently of the router's ledger.
struct BudgetUse
{
    Base::Tokens toppedUp;
    Base::Tokens produced;
    /// Worst-case tokens of the requests in flight.
    Base::Tokens inFlight;

    bool allows(Base::Tokens tokens) const { return toppedUp - produced - inFlight >= tokens; }
};

class FleetRun
{
public:
    FleetRun(const PolicyScenario &scenario, const Budget::BudgetPolicy &policy, std::uint64_t seed)
        : m_scenario(scenario)
        , m_fleet(seed, scenario.instances)
    {
        m_fleet.settings.budget = policy;
        m_fleet.keepsResults = false;
        for (int n = 0; n < scenario.teams; ++n)
            m_teams.push_back(fmt::format("team-{}", n));
    }

    PolicyFigures run()
    {
        m_fleet.startWithDeclaration(
            Tests::makeDeclaration(m_teams, m_scenario.budgetPerTeam(), m_scenario.instances));
        for (const auto &team : m_teams)
            m_budgetUse[team].toppedUp = m_scenario.budgetPerTeam();
        const auto writesBefore = m_fleet.table.writes;
        m_start = m_fleet.world.now();
        scheduleFault();
        scheduleNextRequest();
        scheduleStrandedProbe();
        m_fleet.world.run(m_scenario.span);
        // Lets the requests in flight finish.
        m_fleet.world.run(Base::Milliseconds(10'000));
        for (const auto &[team, use] : m_budgetUse)
            m_figures.overspend += std::max(Base::Tokens(), use.produced - use.toppedUp);
        m_figures.writesPerSecond = static_cast<double>(m_fleet.table.writes - writesBefore) * 1'000
            / static_cast<double>(m_scenario.span.count());
        std::sort(m_decisionTimes.begin(), m_decisionTimes.end());
        if (!m_decisionTimes.empty()) {
            m_figures.decisionP99Milliseconds = m_decisionTimes.at(static_cast<std::size_t>(
                DecisionPercentile * static_cast<double>(m_decisionTimes.size() - 1)));
        }
        return m_figures;
    }

private:
    bool isOver() const { return m_fleet.world.now() - m_start >= m_scenario.span; }

    void scheduleNextRequest()
    {
        const auto mean = 1'000 / m_scenario.requestsPerSecond;
        const auto delay = std::exponential_distribution<double>(1 / mean)(m_fleet.world.random());
        m_fleet.world.schedule(Base::Milliseconds(static_cast<std::int64_t>(delay) + 1), [this] {
            if (isOver())
                return;
            sendRequest();
            scheduleNextRequest();
        });
    }

    const std::string &drawTeam()
    {
        return m_teams[static_cast<std::size_t>(
            m_fleet.world.draw(0, static_cast<std::int64_t>(m_teams.size()) - 1))];
    }

    /// Returns the instance that a caller connects to, or -1 if none is reachable.
    int drawInstance(const std::string &team)
    {
        std::vector<int> available;
        for (int n = 0; n < m_scenario.instances; ++n) {
            if (m_fleet.isUp(n) && !m_fleet.at(n).isPaused()
                && !m_fleet.at(n).instance().isShuttingDown())
                available.push_back(n);
        }
        if (m_scenario.isHotBudget || available.empty()) {
            return available.empty() ? -1
                                     : available[static_cast<std::size_t>(m_fleet.world.draw(
                                         0, static_cast<std::int64_t>(available.size()) - 1))];
        }
        // Callers fetch their entry addresses from a random instance.
        const auto contacted = available[static_cast<std::size_t>(
            m_fleet.world.draw(0, static_cast<std::int64_t>(available.size()) - 1))];
        const auto entry = m_fleet.at(contacted).instance().entryInstancesFor(Base::TeamId(team));
        // Callers try the addresses in the order of the entry response.
        for (const auto &member : entry.members) {
            const auto n =
                std::stoi(member.id.name.text().substr(member.id.name.text().find('-') + 1));
            if (std::find(available.begin(), available.end(), n) != available.end())
                return n;
        }
        return contacted;
    }

    void sendRequest()
    {
        const auto team = drawTeam();
        const auto n = drawInstance(team);
        if (n < 0)
            return;
        ++m_figures.requests;
        Tests::RequestShape shape;
        shape.team = shape.budget = team;
        shape.worstCase = PolicyScenario::WorstCase;
        shape.used =
            Base::Tokens(m_fleet.world.draw(PolicyScenario::MinUsed, PolicyScenario::MaxUsed));
        shape.duration = Base::Milliseconds(m_fleet.world.draw(200, 4'000));
        const auto result = m_fleet.request(n, shape);
        pollRequest(team, shape.used, result, false);
    }

    /// Polls a request until it finishes, without influence on the router's decisions.
    void pollRequest(const std::string &team, Base::Tokens used,
        const std::shared_ptr<CallerResult> &result, bool isCounted)
    {
        auto &use = m_budgetUse[team];
        if (result->isAdmitted && !isCounted) {
            isCounted = true;
            use.inFlight += PolicyScenario::WorstCase;
            m_decisionTimes.push_back((result->decidedAt - result->sentAt).count());
        }
        if (result->isFinished
            || m_fleet.world.now() - result->sentAt > Base::Milliseconds(60'000)) {
            if (isCounted) {
                use.inFlight -= PolicyScenario::WorstCase;
                use.produced += used;
            }
            m_figures.completed += result->isComplete ? 1 : 0;
            const bool isRefused = result->isFinished && !result->isAdmitted;
            m_figures.refused += isRefused ? 1 : 0;
            m_figures.falseRefusals += isRefused && use.allows(PolicyScenario::WorstCase) ? 1 : 0;
            return;
        }
        m_fleet.world.schedule(Base::Milliseconds(result->isAdmitted ? 200 : 10),
            [this, team, used, result, isCounted] { pollRequest(team, used, result, isCounted); });
    }

    /// Periodically sums the unsettled tokens of grants whose holder is not running.
    void scheduleStrandedProbe()
    {
        m_fleet.world.schedule(Base::Milliseconds(StrandedProbeInterval), [this] {
            Base::Tokens stranded;
            for (const auto &row : m_fleet.table.range("grant/")) {
                const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
                if (!isRunningIncarnation(grant.holder))
                    stranded += grant.amount - grant.settled;
            }
            const auto all = m_scenario.budgetPerTeam() * m_scenario.teams;
            m_figures.maxStrandedShare = std::max(m_figures.maxStrandedShare,
                static_cast<double>(stranded.count()) / static_cast<double>(all.count()));
            if (!isOver())
                scheduleStrandedProbe();
        });
    }

    bool isRunningIncarnation(const Base::InstanceId &id) const
    {
        const auto n = std::stoi(id.name.text().substr(id.name.text().find('-') + 1));
        return m_fleet.isUp(n) && const_cast<VirtualFleet &>(m_fleet).at(n).instance().id() == id;
    }

    void at(std::int64_t time, std::function<void()> task)
    {
        m_fleet.world.schedule(
            m_start + Base::Milliseconds(time) - m_fleet.world.now(), std::move(task));
    }

    void scheduleFault()
    {
        switch (m_scenario.fault) {
        case Fault::None:
            return;
        case Fault::PlatformOutage:
            at(FaultTimes::Start, [this] { m_fleet.table.isDown = true; });
            return at(FaultTimes::End, [this] { m_fleet.table.isDown = false; });
        case Fault::Partition:
            return partition();
        case Fault::PartitionWithTopUps:
            partition();
            return topUpOnBothSides();
        case Fault::Crashes:
            return repeatAtInterval(FaultTimes::CrashInterval, [this](int n) { restart(n); });
        case Fault::RollingReplacement:
            return repeatAtInterval(FaultTimes::ReplacementInterval, [this](int n) { replace(n); });
        case Fault::Pauses:
            return repeatAtInterval(FaultTimes::PauseInterval, [this](int n) {
                m_fleet.at(n).pause();
                m_fleet.world.schedule(Base::Milliseconds(FaultTimes::PauseDuration),
                    [this, n] { m_fleet.at(n).resume(); });
            });
        }
    }

    void repeatAtInterval(std::int64_t interval, const std::function<void(int)> &task)
    {
        int n = 0;
        for (auto time = interval; time < m_scenario.span.count() - interval; time += interval, ++n)
            at(time, [task, n = n % m_scenario.instances] { task(n); });
    }

    void restart(int n)
    {
        m_fleet.kill(n);
        m_fleet.world.schedule(Base::Milliseconds(3'000), [this, n] { m_fleet.startInstance(n); });
    }

    void replace(int n)
    {
        m_fleet.at(n).instance().shutDown(Base::Milliseconds(50'000), [this, n](bool) {
            m_fleet.world.schedule(Base::Milliseconds(), [this, n] { restart(n); });
        });
    }

    void partition()
    {
        at(FaultTimes::Start, [this] {
            std::vector<int> cutOffSide;
            for (int n = 0; n < m_scenario.instances; n += 3) {
                cutOffSide.push_back(n);
                m_fleet.table.disconnectedClients.insert(VirtualFleet::nameOf(n));
            }
            m_fleet.partition(cutOffSide);
        });
        at(FaultTimes::End, [this] {
            m_fleet.network.healPartitions();
            m_fleet.table.disconnectedClients.clear();
        });
    }

    /// Requests one top-up with the same id on both sides and another one on each side, during the
    /// partition and again after it.
    void topUpOnBothSides()
    {
        const auto topUpSize = m_scenario.budgetPerTeam() / 10;
        const auto requestTopUp = [this, topUpSize](int n, const std::string &id) {
            m_fleet.at(n).instance().grantHolder().topUps().topUp(Base::BudgetId(m_teams.front()),
                {Base::TopUpId(id), topUpSize},
                [this, topUpSize, id](const Base::Outcome<Budget::BudgetRow> &outcome) {
                    if (std::holds_alternative<Budget::BudgetRow>(outcome)
                        && m_countedTopUps.insert(id).second)
                        m_budgetUse[m_teams.front()].toppedUp += topUpSize;
                });
        };
        for (const auto time : {FaultTimes::Start + 600'000, FaultTimes::End + 60'000}) {
            at(time, [requestTopUp] { requestTopUp(0, "both"); });
            at(time + 1'000, [requestTopUp] { requestTopUp(1, "both"); });
            at(time + 2'000, [requestTopUp] { requestTopUp(0, "cut-side"); });
            at(time + 3'000, [requestTopUp] { requestTopUp(1, "other-side"); });
        }
    }

    const PolicyScenario m_scenario;
    VirtualFleet m_fleet;
    std::vector<std::string> m_teams;
    std::map<std::string, BudgetUse> m_budgetUse;
    std::set<std::string> m_countedTopUps;
    std::vector<std::int64_t> m_decisionTimes;
    Base::Milliseconds m_start;
    PolicyFigures m_figures;
};

} // namespace

PolicyFigures runFleet(
    const PolicyScenario &scenario, const Budget::BudgetPolicy &policy, std::uint64_t seed)
{
    return FleetRun(scenario, policy, seed).run();
}

} // namespace Carawaykeel::Benchmarks
