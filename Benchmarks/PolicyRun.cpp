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

constexpr std::int64_t StrandedProbe = 5'000;
constexpr double NinetyNine = 0.99;

/// What the oracle knows of one budget.
struct Ledger
{
    Base::Tokens toppedUp;
    Base::Tokens produced;
    /// The worst case of what runs now.
    Base::Tokens running;

    bool wouldAllow(Base::Tokens tokens) const { return toppedUp - produced - running >= tokens; }
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
            Tests::makeDeclaration(m_teams, m_scenario.eachBudget(), m_scenario.instances));
        for (const auto &team : m_teams)
            m_ledgers[team].toppedUp = m_scenario.eachBudget();
        const auto writesBefore = m_fleet.table.writes;
        m_start = m_fleet.world.now();
        scheduleTrouble();
        scheduleNext();
        scheduleProbe();
        m_fleet.world.run(m_scenario.span);
        // What still runs comes to its end.
        m_fleet.world.run(Base::Milliseconds(10'000));
        for (const auto &[team, ledger] : m_ledgers)
            m_figures.overspend += std::max(Base::Tokens(), ledger.produced - ledger.toppedUp);
        m_figures.writesPerSecond = static_cast<double>(m_fleet.table.writes - writesBefore) * 1'000
            / static_cast<double>(m_scenario.span.count());
        std::sort(m_decisions.begin(), m_decisions.end());
        if (!m_decisions.empty()) {
            m_figures.decisionMilliseconds = m_decisions.at(
                static_cast<std::size_t>(NinetyNine * static_cast<double>(m_decisions.size() - 1)));
        }
        return m_figures;
    }

private:
    bool isOver() const { return m_fleet.world.now() - m_start >= m_scenario.span; }

    void scheduleNext()
    {
        const auto mean = 1'000 / m_scenario.requestsPerSecond;
        const auto wait = std::exponential_distribution<double>(1 / mean)(m_fleet.world.random());
        m_fleet.world.schedule(Base::Milliseconds(static_cast<std::int64_t>(wait) + 1), [this] {
            if (isOver())
                return;
            sendOne();
            scheduleNext();
        });
    }

    const std::string &drawTeam()
    {
        return m_teams[static_cast<std::size_t>(
            m_fleet.world.draw(0, static_cast<std::int64_t>(m_teams.size()) - 1))];
    }

    /// A caller connects to an instance that it can reach.
    int drawInstance(const std::string &team)
    {
        std::vector<int> up;
        for (int n = 0; n < m_scenario.instances; ++n) {
            if (m_fleet.isUp(n) && !m_fleet.at(n).isPaused()
                && !m_fleet.at(n).instance().isShuttingDown())
                up.push_back(n);
        }
        if (m_scenario.isHot || up.empty()) {
            return up.empty() ? -1
                              : up[static_cast<std::size_t>(
                                  m_fleet.world.draw(0, static_cast<std::int64_t>(up.size()) - 1))];
        }
        // Whom a caller asks first is as much by chance.
        const auto asked = up[static_cast<std::size_t>(
            m_fleet.world.draw(0, static_cast<std::int64_t>(up.size()) - 1))];
        const auto entry = m_fleet.at(asked).instance().entryInstancesFor(Base::TeamId(team));
        // Callers take the addresses in the order given.
        for (const auto &member : entry.members) {
            const auto n =
                std::stoi(member.id.name.text().substr(member.id.name.text().find('-') + 1));
            if (std::find(up.begin(), up.end(), n) != up.end())
                return n;
        }
        return asked;
    }

    void sendOne()
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
            Base::Tokens(m_fleet.world.draw(PolicyScenario::LeastUsed, PolicyScenario::MostUsed));
        shape.duration = Base::Milliseconds(m_fleet.world.draw(200, 4'000));
        const auto answer = m_fleet.request(n, shape);
        watch(team, shape.used, answer, false);
    }

    /// Follows a request by looking at it now and then; the decisions are told nothing.
    void watch(const std::string &team, Base::Tokens used,
        const std::shared_ptr<CallerResult> &answer, bool isCounted)
    {
        auto &ledger = m_ledgers[team];
        if (answer->isAdmitted && !isCounted) {
            isCounted = true;
            ledger.running += PolicyScenario::WorstCase;
            m_decisions.push_back((answer->decidedAt - answer->sentAt).count());
        }
        if (answer->isFinished
            || m_fleet.world.now() - answer->sentAt > Base::Milliseconds(60'000)) {
            if (isCounted) {
                ledger.running -= PolicyScenario::WorstCase;
                ledger.produced += used;
            }
            m_figures.whole += answer->isComplete ? 1 : 0;
            const bool isRefused = answer->isFinished && !answer->isAdmitted;
            m_figures.refused += isRefused ? 1 : 0;
            m_figures.falseRefusals +=
                isRefused && ledger.wouldAllow(PolicyScenario::WorstCase) ? 1 : 0;
            return;
        }
        m_fleet.world.schedule(Base::Milliseconds(answer->isAdmitted ? 200 : 10),
            [this, team, used, answer, isCounted] { watch(team, used, answer, isCounted); });
    }

    /// Tokens in grants whose holder is down, less what its witness counts as reserved.
    void scheduleProbe()
    {
        m_fleet.world.schedule(Base::Milliseconds(StrandedProbe), [this] {
            Base::Tokens stranded;
            for (const auto &row : m_fleet.table.range("grant/")) {
                const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
                if (!isLife(grant.holder))
                    stranded += grant.amount - grant.settled;
            }
            const auto all = m_scenario.eachBudget() * m_scenario.teams;
            m_figures.mostStrandedShare = std::max(m_figures.mostStrandedShare,
                static_cast<double>(stranded.count()) / static_cast<double>(all.count()));
            if (!isOver())
                scheduleProbe();
        });
    }

    bool isLife(const Base::InstanceId &id) const
    {
        const auto n = std::stoi(id.name.text().substr(id.name.text().find('-') + 1));
        return m_fleet.isUp(n) && const_cast<VirtualFleet &>(m_fleet).at(n).instance().id() == id;
    }

    void at(std::int64_t moment, std::function<void()> task)
    {
        m_fleet.world.schedule(
            m_start + Base::Milliseconds(moment) - m_fleet.world.now(), std::move(task));
    }

    void scheduleTrouble()
    {
        switch (m_scenario.trouble) {
        case Trouble::None:
            return;
        case Trouble::PlatformOutage:
            at(TroubleTimes::Begin, [this] { m_fleet.table.isDown = true; });
            return at(TroubleTimes::End, [this] { m_fleet.table.isDown = false; });
        case Trouble::Partition:
            return partition();
        case Trouble::PartitionWithTopUps:
            partition();
            return topUpOnBothSides();
        case Trouble::Deaths:
            return repeat(TroubleTimes::DeathGap, [this](int n) { restart(n); });
        case Trouble::RollingReplacement:
            return repeat(TroubleTimes::RollingGap, [this](int n) { replace(n); });
        case Trouble::Pauses:
            return repeat(TroubleTimes::PauseGap, [this](int n) {
                m_fleet.at(n).pause();
                m_fleet.world.schedule(
                    Base::Milliseconds(TroubleTimes::Pause), [this, n] { m_fleet.at(n).resume(); });
            });
        }
    }

    void repeat(std::int64_t gap, const std::function<void(int)> &task)
    {
        int n = 0;
        for (auto moment = gap; moment < m_scenario.span.count() - gap; moment += gap, ++n)
            at(moment, [task, n = n % m_scenario.instances] { task(n); });
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
        at(TroubleTimes::Begin, [this] {
            std::vector<int> side;
            for (int n = 0; n < m_scenario.instances; n += 3) {
                side.push_back(n);
                m_fleet.table.disconnectedClients.insert(VirtualFleet::nameOf(n));
            }
            m_fleet.partition(side);
        });
        at(TroubleTimes::End, [this] {
            m_fleet.network.healPartitions();
            m_fleet.table.disconnectedClients.clear();
        });
    }

    /// The same top-up is tried on both sides and again after the cut; another one on each side.
    void topUpOnBothSides()
    {
        const auto part = m_scenario.eachBudget() / 10;
        const auto order = [this, part](int n, const std::string &id) {
            m_fleet.at(n).instance().grantHolder().topUps().topUp(Base::BudgetId(m_teams.front()),
                {Base::TopUpId(id), part},
                [this, part, id](const Base::Outcome<Budget::BudgetRow> &outcome) {
                    if (std::holds_alternative<Budget::BudgetRow>(outcome)
                        && m_countedTopUps.insert(id).second)
                        m_ledgers[m_teams.front()].toppedUp += part;
                });
        };
        for (const auto moment : {TroubleTimes::Begin + 600'000, TroubleTimes::End + 60'000}) {
            at(moment, [order] { order(0, "both"); });
            at(moment + 1'000, [order] { order(1, "both"); });
            at(moment + 2'000, [order] { order(0, "cut-side"); });
            at(moment + 3'000, [order] { order(1, "other-side"); });
        }
    }

    const PolicyScenario m_scenario;
    VirtualFleet m_fleet;
    std::vector<std::string> m_teams;
    std::map<std::string, Ledger> m_ledgers;
    std::set<std::string> m_countedTopUps;
    std::vector<std::int64_t> m_decisions;
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
