#include <Support/FakeEngines.h>

namespace Carawaykeel::Tests {

namespace {

std::string reservationOf(const std::string &attempt)
{
    return attempt.substr(0, attempt.rfind(':'));
}

} // namespace

Base::Tokens FakeEngines::run(const Requests::RequestKey &key, const Base::BudgetId &budget,
    const std::string &attempt, Base::Tokens tokens)
{
    const auto reservation = reservationOf(attempt);
    if (m_barred.contains(reservation))
        return Base::Tokens(-1);
    m_attempts[reservation] += tokens;
    ++m_runs[key];
    m_reservations[key] = reservation;
    m_produced[budget] += tokens;
    return tokens;
}

Budget::AttemptLookupResult FakeEngines::report(const std::string &reservation)
{
    if (!keepsAttempts)
        return {};
    const auto it = m_attempts.find(reservation);
    if (it != m_attempts.end())
        return {Budget::AttemptStatus::Finished, it->second};
    m_barred.insert(reservation);
    return {Budget::AttemptStatus::NeverSeen, {}};
}

Base::Tokens FakeEngines::produced(const Base::BudgetId &budget) const
{
    const auto it = m_produced.find(budget);
    return it == m_produced.end() ? Base::Tokens() : it->second;
}

int FakeEngines::runCount(const Requests::RequestKey &key) const
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? 0 : it->second;
}

} // namespace Carawaykeel::Tests
