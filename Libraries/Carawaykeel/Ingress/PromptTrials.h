#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Ingress/QuarantineStore.h>

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Carawaykeel::Ingress {

/// Lets single requests with quarantined prompt parts through, one at a time among all instances,
/// so that a part which was blamed wrongly is found to be sound.
class PromptTrials
{
public:
    using Callback = std::function<void(const TrialClaim &claim)>;

    PromptTrials(QuarantineStore &store, Base::Scheduler &scheduler, Base::RandomEngine &random);

    /// Asks for permission to send a request that is rejected for these parts. The callback is
    /// called before the function returns if an earlier reply says that it is too soon.
    void claim(const std::vector<std::uint64_t> &parts, const Callback &callback);

    /// Returns the time until permission can be had.
    Base::Milliseconds timeUntilTrial(std::span<const std::uint64_t> parts) const;

    /// Call when the parts are no longer quarantined.
    void forget(std::span<const std::uint64_t> parts);

private:
    void postpone(std::span<const std::uint64_t> parts, Base::Milliseconds delay);

    QuarantineStore &m_store;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    /// When this instance asks again.
    std::unordered_map<std::uint64_t, Base::Milliseconds> m_nextClaimAt;
};

} // namespace Carawaykeel::Ingress
