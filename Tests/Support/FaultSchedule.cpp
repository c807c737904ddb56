#include <Support/FaultSchedule.h>

namespace Carawaykeel::Tests {

namespace {

constexpr std::int64_t StepMilliseconds = 25;
constexpr double FaultProbabilityPerStep = 0.03;

} // namespace

FaultSchedule::FaultSchedule(VirtualFleet &fleet, const FaultMix &mix)
    : m_fleet(fleet)
    , m_mix(mix)
    , m_lastKillTime(fleet.world.now())
{
    if (m_mix.messageFaults) {
        m_fleet.network.loss = 0.02;
        m_fleet.network.duplication = 0.05;
        m_fleet.network.maxDelay = Base::Milliseconds(20);
    }
}

void FaultSchedule::run(std::int64_t milliseconds, const std::function<void(int)> &sendRequest)
{
    auto &world = m_fleet.world;
    for (std::int64_t elapsed = 0; elapsed < milliseconds; elapsed += StepMilliseconds) {
        if (world.happens(FaultProbabilityPerStep))
            injectFault();
        const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
        if (m_fleet.isUp(n) && !m_fleet.at(n).isPaused())
            sendRequest(n);
        m_fleet.run(StepMilliseconds);
    }
}

void FaultSchedule::injectFault()
{
    switch (m_fleet.world.draw(0, 3)) {
    case 0:
        return killInstance();
    case 1:
        return pauseInstance();
    case 2:
        return createPartition();
    default:
        return injectPlatformFault();
    }
}

void FaultSchedule::killInstance()
{
    auto &world = m_fleet.world;
    if (!m_mix.kills || world.now() - m_lastKillTime < m_mix.minKillInterval)
        return;
    m_lastKillTime = world.now();
    const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
    m_fleet.kill(n);
    world.schedule(Base::Milliseconds(world.draw(500, 10'000)), [this, n] {
        if (!m_fleet.isUp(n))
            m_fleet.startInstance(n);
    });
}

void FaultSchedule::pauseInstance()
{
    auto &world = m_fleet.world;
    const auto n = static_cast<int>(world.draw(0, m_fleet.count() - 1));
    if (!m_mix.pauses || !m_fleet.isUp(n))
        return;
    m_fleet.at(n).pause();
    // Most pauses are short; some are longer than all timeouts.
    const auto span = world.happens(0.2) ? world.draw(10'000, 40'000) : world.draw(5, 3'000);
    world.schedule(Base::Milliseconds(span), [this, n] {
        if (m_fleet.isUp(n))
            m_fleet.at(n).resume();
    });
}

void FaultSchedule::createPartition()
{
    auto &world = m_fleet.world;
    if (!m_mix.partitions)
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

void FaultSchedule::injectPlatformFault()
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
