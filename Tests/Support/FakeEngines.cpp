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
    if (m_blockedReservations.contains(reservation))
        return Base::Tokens(-1);
    m_producedByReservation[reservation] += tokens;
    ++m_runCounts[key];
    m_lastReservations[key] = reservation;
    m_producedByBudget[budget] += tokens;
    return tokens;
}

Budget::AttemptLookupResult FakeEngines::lookUpAttempts(const std::string &reservation)
{
    if (!supportsAttemptStatus)
        return {};
    const auto it = m_producedByReservation.find(reservation);
    if (it != m_producedByReservation.end())
        return {Budget::AttemptStatus::Finished, it->second};
    m_blockedReservations.insert(reservation);
    return {Budget::AttemptStatus::NeverSeen, {}};
}

Base::Tokens FakeEngines::produced(const Base::BudgetId &budget) const
{
    const auto it = m_producedByBudget.find(budget);
    return it == m_producedByBudget.end() ? Base::Tokens() : it->second;
}

int FakeEngines::runCount(const Requests::RequestKey &key) const
{
    const auto it = m_runCounts.find(key);
    return it == m_runCounts.end() ? 0 : it->second;
}

} // namespace Carawaykeel::Tests
