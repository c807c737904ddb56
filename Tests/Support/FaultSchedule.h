#pragma once

#include <Support/VirtualFleet.h>

#include <functional>

namespace Carawaykeel::Tests {

/// The kinds of faults that a schedule injects.
struct FaultMix
{
    bool kills = true;
    bool pauses = true;
    bool partitions = true;
    bool platformFaults = true;
    bool messageFaults = true;
    /// Minimum time between two kills, so that a holder and its witness do not die together.
    Base::Milliseconds minKillInterval{20'000};
};

/// Injects random faults, drawn from the world's seeded generator, while requests are sent.
class FaultSchedule
{
public:
    FaultSchedule(VirtualFleet &fleet, const FaultMix &mix);

    /// Runs the fleet for this time. Every 25 ms `sendRequest` is called with a random instance,
    /// unless that instance is down or paused.
    void run(std::int64_t milliseconds, const std::function<void(int)> &sendRequest);

private:
    void injectFault();
    void killInstance();
    void pauseInstance();
    void createPartition();
    void injectPlatformFault();

    VirtualFleet &m_fleet;
    const FaultMix m_mix;
    Base::Milliseconds m_lastKillTime;
};

} // namespace Carawaykeel::Tests
