#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <deque>
#include <map>
#include <optional>

namespace Carawaykeel::Forwarding {

/// How many repeats a service may get from all instances together within any window.
struct RetryBudgetPolicy
{
    /// Repeats for each request of the window.
    double ratio = 0.1;
    /// Repeats beside those.
    int slack = 10;
    Base::Milliseconds window{10'000};
};

/// This instance's share of the fleet's repeats. The ratio counts own requests only and the slack
/// is divided by the instances that are known, so the shares add up to no more than the whole
/// once all know all. A new life takes none of the slack for one window: its predecessor may have
/// used that share, and it has not met all others yet.
class RetryBudget
{
public:
    /// The life of the instance begins at this moment.
    RetryBudget(const RetryBudgetPolicy &policy, Base::Milliseconds startedAt);

    /// Other bounds from now on.
    void setPolicy(const RetryBudgetPolicy &policy) { m_policy = policy; }

    /// The slack is shared by this many instances; until this is called it is not used.
    void setInstanceCount(int instances);
    /// None while it is not known.
    std::optional<int> instanceCount() const { return m_instances; }

    void onRequest(const Base::ServiceName &service, Base::Milliseconds now);

    /// Takes one repeat, when there is one left.
    bool tryTake(const Base::ServiceName &service, Base::Milliseconds now);

    /// Repeats that may still be taken now.
    int remainingRetries(const Base::ServiceName &service, Base::Milliseconds now);

private:
    struct Use
    {
        std::deque<Base::Milliseconds> requests;
        std::deque<Base::Milliseconds> repeats;
    };

    double slackShare(Base::Milliseconds now) const;
    void forgetOld(Use &use, Base::Milliseconds now) const;

    RetryBudgetPolicy m_policy;
    Base::Milliseconds m_startedAt;
    std::optional<int> m_instances;
    std::map<Base::ServiceName, Use> m_uses;
};

} // namespace Carawaykeel::Forwarding
