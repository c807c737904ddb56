#pragma once

#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Budget/AttemptLookup.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <set>
#include <string>

namespace Carawaykeel::Tests {

/// All back ends: what they really ran is the oracle of every check.
class FakeEngines
{
public:
    explicit FakeEngines(VirtualWorld &world)
        : m_world(world)
    {
    }

    /// Runs an attempt at once, up to the tokens; answers what it produced, or -1 when it was
    /// barred.
    Base::Tokens run(const Requests::RequestKey &key, const Base::BudgetId &budget,
        const std::string &attempt, Base::Tokens tokens);

    /// The oracle that witnesses ask, answered on the asker's schedule.
    Budget::AttemptLookupResult report(const std::string &reservation);

    Base::Tokens produced(const Base::BudgetId &budget) const;
    int runCount(const Requests::RequestKey &key) const;
    const std::map<Requests::RequestKey, int> &runs() const { return m_runs; }
    /// The reservation of a request's last run.
    std::string lastReservation(const Requests::RequestKey &key) const
    {
        return m_reservations.at(key);
    }

    /// Tokens that each reservation's attempts have produced.
    const std::map<std::string, Base::Tokens> &attempts() const { return m_attempts; }

    /// False: the engines cannot be asked about attempts.
    bool keepsAttempts = true;

private:
    VirtualWorld &m_world;
    std::map<std::string, Base::Tokens> m_attempts;
    std::set<std::string> m_barred;
    std::map<Requests::RequestKey, int> m_runs;
    std::map<Requests::RequestKey, std::string> m_reservations;
    std::map<Base::BudgetId, Base::Tokens> m_produced;
};

} // namespace Carawaykeel::Tests
