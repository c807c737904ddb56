#include <Carawaykeel/Forwarding/RetryBudget.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

RetryBudget::RetryBudget(const RetryBudgetPolicy &policy, Base::Milliseconds startedAt)
    : m_policy(policy)
    , m_startedAt(startedAt)
{
}

void RetryBudget::setInstanceCount(int instanceCount)
{
    m_instanceCount = std::max(1, instanceCount);
}

void RetryBudget::onRequest(const Base::ServiceName &service, Base::Milliseconds now)
{
    auto &usage = m_usage[service];
    removeExpired(usage, now);
    usage.requests.push_back(now);
}

bool RetryBudget::tryTake(const Base::ServiceName &service, Base::Milliseconds now)
{
    if (remainingRetries(service, now) <= 0)
        return false;
    m_usage[service].retries.push_back(now);
    return true;
}

double RetryBudget::slackShare(Base::Milliseconds now) const
{
    if (!m_instanceCount || now - m_startedAt < m_policy.window)
        return 0;
    return static_cast<double>(m_policy.slack) / *m_instanceCount;
}

int RetryBudget::remainingRetries(const Base::ServiceName &service, Base::Milliseconds now)
{
    auto &usage = m_usage[service];
    removeExpired(usage, now);
    const auto allowed =
        m_policy.ratio * static_cast<double>(usage.requests.size()) + slackShare(now);
    return static_cast<int>(allowed) - static_cast<int>(usage.retries.size());
}

void RetryBudget::removeExpired(Usage &usage, Base::Milliseconds now) const
{
    const auto oldest = now - m_policy.window;
    while (!usage.requests.empty() && usage.requests.front() <= oldest)
        usage.requests.pop_front();
    while (!usage.retries.empty() && usage.retries.front() <= oldest)
        usage.retries.pop_front();
}

} // namespace Carawaykeel::Forwarding
