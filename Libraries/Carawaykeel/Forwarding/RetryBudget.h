#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <deque>
#include <map>
#include <optional>

namespace Carawaykeel::Forwarding {

/// Bounds on the retries of a service by the whole fleet within any window.
struct RetryBudgetPolicy
{
    /// Retries allowed per request in the window.
    double ratio = 0.1;
    /// Retries in addition to those of the ratio.
    int slack = 10;
    Base::Milliseconds window{10'000};
};

/// This instance's share of the fleet's retry budget. The ratio counts only this instance's
/// requests and the slack is divided by the number of known instances, so the shares do not exceed
/// the fleet's budget once all instances know each other. A new incarnation uses none of the slack
/// for one window, because its predecessor may have used that share and it does not know all other
/// instances yet.
class RetryBudget
{
public:
    /// `startedAt` is the start time of this incarnation.
    RetryBudget(const RetryBudgetPolicy &policy, Base::Milliseconds startedAt);

    /// Replaces the bounds; past requests and retries still count.
    void setPolicy(const RetryBudgetPolicy &policy) { m_policy = policy; }

    /// Sets the number of instances that share the slack. No slack is used before the first call.
    void setInstanceCount(int instanceCount);
    /// Empty before the first call of setInstanceCount().
    std::optional<int> instanceCount() const { return m_instanceCount; }

    void onRequest(const Base::ServiceName &service, Base::Milliseconds now);

    /// Takes one retry. Returns false when none remains.
    bool tryTake(const Base::ServiceName &service, Base::Milliseconds now);

    /// Returns the number of retries that may be taken now.
    int remainingRetries(const Base::ServiceName &service, Base::Milliseconds now);

private:
    struct Usage
    {
        std::deque<Base::Milliseconds> requests;
        std::deque<Base::Milliseconds> retries;
    };

    double slackShare(Base::Milliseconds now) const;
    void removeExpired(Usage &usage, Base::Milliseconds now) const;

    RetryBudgetPolicy m_policy;
    Base::Milliseconds m_startedAt;
    std::optional<int> m_instanceCount;
    std::map<Base::ServiceName, Usage> m_usage;
};

} // namespace Carawaykeel::Forwarding
