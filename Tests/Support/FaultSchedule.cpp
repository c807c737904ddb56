#include <Support/FaultSchedule.h>

namespace Carawaykeel::Tests {

namespace {

constexpr std::int64_t Step = 25;
constexpr double FaultsPerStep = 0.03;

} // namespace

FaultSchedule::FaultSchedule(VirtualFleet &fleet, const FaultMix &mix)
    : m_fleet(fleet)
    , m_mix(mix)
    , m_lastKill(fleet.world.now())
{
    if (m_mix.messageFaults) {
        m_fleet.network.loss = 0.02;
        m_fleet.network.duplication = 0.05;
        m_fleet.network.longestDelay = Base::Milliseconds(20);
    }
}

void FaultSchedule::run(std::int64_t milliseconds, const std::function<void(int)> &request)
{
    auto &world = m_fleet.world;
    for (std::int64_t passed = 0; passed < milliseconds; passed += Step) {
        if (world.happens(FaultsPerStep))
            breakSomething();
        const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
        if (m_fleet.isUp(n) && !m_fleet.at(n).isPaused())
            request(n);
        m_fleet.run(Step);
    }
}

void FaultSchedule::breakSomething()
{
    switch (m_fleet.world.draw(0, 3)) {
    case 0:
        return killOne();
    case 1:
        return freezeOne();
    case 2:
        return cutSome();
    default:
        return hurtPlatform();
    }
}

void FaultSchedule::killOne()
{
    auto &world = m_fleet.world;
    if (!m_mix.kills || world.now() - m_lastKill < m_mix.minKillInterval)
        return;
    m_lastKill = world.now();
    const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
    m_fleet.kill(n);
    world.schedule(Base::Milliseconds(world.draw(500, 10'000)), [this, n] {
        if (!m_fleet.isUp(n))
            m_fleet.startInstance(n);
    });
}

void FaultSchedule::freezeOne()
{
    auto &world = m_fleet.world;
    const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
    if (!m_mix.freezes || !m_fleet.isUp(n))
        return;
    m_fleet.at(n).pause();
    // Most pauses are short; some outlast every timeout.
    const auto span = world.happens(0.2) ? world.draw(10'000, 40'000) : world.draw(5, 3'000);
    world.schedule(Base::Milliseconds(span), [this, n] {
        if (m_fleet.isUp(n))
            m_fleet.at(n).resume();
    });
}

void FaultSchedule::cutSome()
{
    auto &world = m_fleet.world;
    if (!m_mix.cuts)
        return;
    if (world.happens(0.4)) {
        const auto name =
            VirtualFleet::nameOf(static_cast<int>(world.draw(0, m_fleet.count() - 1)));
        m_fleet.table.disconnectedClients.insert(name);
        return world.schedule(Base::Milliseconds(world.draw(500, 15'000)),
            [this, name] { m_fleet.table.disconnectedClients.erase(name); });
    }
    std::vector<int> side;
    for (int n = 0; n < m_fleet.count(); ++n) {
        if (world.happens(0.4))
            side.push_back(n);
    }
    m_fleet.partition(side);
    world.schedule(
        Base::Milliseconds(world.draw(500, 15'000)), [this] { m_fleet.network.healPartitions(); });
}

void FaultSchedule::hurtPlatform()
{
    auto &world = m_fleet.world;
    auto &table = m_fleet.table;
    if (!m_mix.platformFaults)
        return;
    const auto fault = world.draw(0, 3);
    table.isDown = fault == 0;
    table.replyLoss = fault == 1 ? 0.5 : 0;
    table.lateCommit = fault == 2 ? 0.3 : 0;
    table.extraDelay = Base::Milliseconds(fault == 3 ? 400 : 0);
    world.schedule(Base::Milliseconds(world.draw(500, 12'000)), [&table] {
        table.isDown = false;
        table.replyLoss = table.lateCommit = 0;
        table.extraDelay = Base::Milliseconds();
    });
}

} // namespace Carawaykeel::Tests
