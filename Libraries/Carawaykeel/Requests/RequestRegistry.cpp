#include <Carawaykeel/Requests/RequestRegistry.h>

#include <utility>

namespace Carawaykeel::Requests {

RequestRegistry::RequestRegistry(Base::Scheduler &scheduler, const RegistryPolicy &policy)
    : m_scheduler(scheduler)
    , m_policy(policy)
{
}

RequestEntry *RequestRegistry::find(const RequestKey &key)
{
    expire();
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

void RequestRegistry::start(const RequestKey &key)
{
    m_entries[key].state = RequestState::Running;
}

void RequestRegistry::setQueryingPeers(const RequestKey &key, bool isQuerying)
{
    m_entries[key].state = isQuerying ? RequestState::QueryingPeers : RequestState::Running;
}

void RequestRegistry::finish(const RequestKey &key, StoredResponse response)
{
    const bool isKept = response.body.size() <= m_policy.maxBodyBytes;
    if (isKept) {
        m_bodyBytes += response.body.size();
        m_bodyOrder.push_back(key);
    }
    endRequest(key, isKept ? RequestState::Finished : RequestState::OutcomeUnknown,
        isKept ? std::move(response) : StoredResponse());
    evictOldBodies();
}

void RequestRegistry::markOutcomeUnknown(const RequestKey &key)
{
    endRequest(key, RequestState::OutcomeUnknown, {});
}

void RequestRegistry::delegate(const RequestKey &key, const Base::InstanceId &to)
{
    m_entries[key].delegatedTo = to;
    endRequest(key, RequestState::Delegated, {});
}

void RequestRegistry::endRequest(const RequestKey &key, RequestState state, StoredResponse response)
{
    auto &entry = m_entries[key];
    entry.state = state;
    entry.response = std::move(response);
    entry.expiresAt = m_scheduler.now() + m_policy.retentionTime;
    m_expiries.push_back({key, entry.expiresAt});
    auto waiters = std::move(entry.waiters);
    entry.waiters.clear();
    const auto ended = entry;
    for (auto &callback : waiters)
        callback(ended);
}

void RequestRegistry::markNotExecuted(const RequestKey &key)
{
    endRequest(key, RequestState::NotExecuted, {});
}

void RequestRegistry::expire()
{
    const auto now = m_scheduler.now();
    while (!m_expiries.empty() && m_expiries.front().expiresAt <= now) {
        const auto it = m_entries.find(m_expiries.front().key);
        const bool isExpired = it != m_entries.end() && it->second.state != RequestState::Running
            && it->second.state != RequestState::QueryingPeers && it->second.expiresAt <= now;
        if (isExpired)
            m_entries.erase(it);
        m_expiries.pop_front();
    }
}

void RequestRegistry::evictOldBodies()
{
    while (!m_bodyOrder.empty()
        && (m_bodyBytes > m_policy.maxTotalBodyBytes
            || m_bodyOrder.size() > m_policy.maxResponses)) {
        const auto it = m_entries.find(m_bodyOrder.front());
        if (it != m_entries.end() && it->second.state == RequestState::Finished) {
            m_bodyBytes -= it->second.response.body.size();
            it->second.response = {};
            it->second.state = RequestState::OutcomeUnknown;
        }
        m_bodyOrder.pop_front();
    }
}

} // namespace Carawaykeel::Requests
