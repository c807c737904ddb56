#pragma once

#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Budget/AttemptLookup.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <set>
#include <string>

namespace Carawaykeel::Tests {

/// The backend servers of a virtual fleet. They record which requests ran and how many tokens were
/// produced; the checks compare ledger, bills and responses with this record.
class FakeEngines
{
public:
    explicit FakeEngines(VirtualWorld &world)
        : m_world(world)
    {
    }

    /// Runs an attempt at once and returns the tokens that it produced. Returns -1 without running
    /// it if a lookup has already reported its reservation as never seen.
    Base::Tokens run(const Requests::RequestKey &key, const Base::BudgetId &budget,
        const std::string &attempt, Base::Tokens tokens);

    /// Returns the status of a reservation's attempts. A reservation that is reported as never seen
    /// cannot run later. The caller delays the result with its own scheduler.
    Budget::AttemptLookupResult lookUpAttempts(const std::string &reservation);

    Base::Tokens produced(const Base::BudgetId &budget) const;
    int runCount(const Requests::RequestKey &key) const;
    const std::map<Requests::RequestKey, int> &runCounts() const { return m_runCounts; }
    /// Returns the reservation of the last run of a request.
    std::string lastReservation(const Requests::RequestKey &key) const
    {
        return m_lastReservations.at(key);
    }

    /// Returns the tokens that the attempts of each reservation have produced.
    const std::map<std::string, Base::Tokens> &producedByReservation() const
    {
        return m_producedByReservation;
    }

    /// If false, the engines cannot be queried about attempts, and lookups return Unknown.
    bool supportsAttemptStatus = true;

private:
    VirtualWorld &m_world;
    std::map<std::string, Base::Tokens> m_producedByReservation;
    std::set<std::string> m_blockedReservations;
    std::map<Requests::RequestKey, int> m_runCounts;
    std::map<Requests::RequestKey, std::string> m_lastReservations;
    std::map<Base::BudgetId, Base::Tokens> m_producedByBudget;
};

} // namespace Carawaykeel::Tests
