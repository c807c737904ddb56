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

void RequestRegistry::begin(const RequestKey &key)
{
    m_entries[key].state = RequestState::Running;
}

void RequestRegistry::setAsking(const RequestKey &key, bool isAsking)
{
    m_entries[key].state = isAsking ? RequestState::Asking : RequestState::Running;
}

void RequestRegistry::finish(const RequestKey &key, StoredResponse answer)
{
    const bool isKept = answer.body.size() <= m_policy.largestBody;
    if (isKept) {
        m_bytes += answer.body.size();
        m_bodies.push_back(key);
    }
    end(key, isKept ? RequestState::Finished : RequestState::Uncertain,
        isKept ? std::move(answer) : StoredResponse());
    shedOldBodies();
}

void RequestRegistry::markUncertain(const RequestKey &key)
{
    end(key, RequestState::Uncertain, {});
}

void RequestRegistry::giveAway(const RequestKey &key, const Base::InstanceId &to)
{
    m_entries[key].givenTo = to;
    end(key, RequestState::GivenAway, {});
}

void RequestRegistry::end(const RequestKey &key, RequestState state, StoredResponse answer)
{
    auto &entry = m_entries[key];
    entry.state = state;
    entry.answer = std::move(answer);
    entry.keptUntil = m_scheduler.now() + m_policy.keep;
    m_expiries.push_back({key, entry.keptUntil});
    auto joined = std::move(entry.joined);
    entry.joined.clear();
    const auto told = entry;
    for (auto &callback : joined)
        callback(told);
}

void RequestRegistry::markNotRun(const RequestKey &key)
{
    end(key, RequestState::NotRun, {});
}

void RequestRegistry::expire()
{
    const auto now = m_scheduler.now();
    while (!m_expiries.empty() && m_expiries.front().when <= now) {
        const auto it = m_entries.find(m_expiries.front().key);
        const bool isOver = it != m_entries.end() && it->second.state != RequestState::Running
            && it->second.state != RequestState::Asking && it->second.keptUntil <= now;
        if (isOver)
            m_entries.erase(it);
        m_expiries.pop_front();
    }
}

void RequestRegistry::shedOldBodies()
{
    while (!m_bodies.empty()
        && (m_bytes > m_policy.bytesKept || m_bodies.size() > m_policy.answersKept)) {
        const auto it = m_entries.find(m_bodies.front());
        if (it != m_entries.end() && it->second.state == RequestState::Finished) {
            m_bytes -= it->second.answer.body.size();
            it->second.answer = {};
            it->second.state = RequestState::Uncertain;
        }
        m_bodies.pop_front();
    }
}

} // namespace Carawaykeel::Requests
