#pragma once

#include <Support/VirtualFleet.h>

#include <functional>

namespace Carawaykeel::Tests {

/// Which faults a schedule brings about.
struct FaultMix
{
    bool kills = true;
    bool freezes = true;
    bool cuts = true;
    bool platformFaults = true;
    bool messageFaults = true;
    /// Moments between two kills, so that a holder and its witness do not die together.
    Base::Milliseconds minKillInterval{20'000};
};

/// Draws faults by the world's seed and brings them about while requests go on.
class FaultSchedule
{
public:
    FaultSchedule(VirtualFleet &fleet, const FaultMix &mix);

    /// Runs the fleet for a span with a request every few milliseconds from the maker, which is
    /// told the instance to use.
    void run(std::int64_t milliseconds, const std::function<void(int)> &request);

private:
    void breakSomething();
    void killOne();
    void freezeOne();
    void cutSome();
    void hurtPlatform();

    VirtualFleet &m_fleet;
    const FaultMix m_mix;
    Base::Milliseconds m_lastKill;
};

} // namespace Carawaykeel::Tests
