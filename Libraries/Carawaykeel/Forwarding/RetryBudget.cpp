#include <Carawaykeel/Forwarding/RetryBudget.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

RetryBudget::RetryBudget(const RetryBudgetPolicy &policy, Base::Milliseconds startedAt)
    : m_policy(policy)
    , m_startedAt(startedAt)
{
}

void RetryBudget::setInstanceCount(int instances)
{
    m_instances = std::max(1, instances);
}

void RetryBudget::onRequest(const Base::ServiceName &service, Base::Milliseconds now)
{
    auto &use = m_uses[service];
    forgetOld(use, now);
    use.requests.push_back(now);
}

bool RetryBudget::tryTake(const Base::ServiceName &service, Base::Milliseconds now)
{
    if (remainingRetries(service, now) <= 0)
        return false;
    m_uses[service].repeats.push_back(now);
    return true;
}

double RetryBudget::slackShare(Base::Milliseconds now) const
{
    if (!m_instances || now - m_startedAt < m_policy.window)
        return 0;
    return static_cast<double>(m_policy.slack) / *m_instances;
}

int RetryBudget::remainingRetries(const Base::ServiceName &service, Base::Milliseconds now)
{
    auto &use = m_uses[service];
    forgetOld(use, now);
    const auto allowed =
        m_policy.ratio * static_cast<double>(use.requests.size()) + slackShare(now);
    return static_cast<int>(allowed) - static_cast<int>(use.repeats.size());
}

void RetryBudget::forgetOld(Use &use, Base::Milliseconds now) const
{
    const auto oldest = now - m_policy.window;
    while (!use.requests.empty() && use.requests.front() <= oldest)
        use.requests.pop_front();
    while (!use.repeats.empty() && use.repeats.front() <= oldest)
        use.repeats.pop_front();
}

} // namespace Carawaykeel::Forwarding
