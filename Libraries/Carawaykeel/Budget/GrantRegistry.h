#pragma once

#include <Carawaykeel/Budget/HeldGrant.h>

#include <functional>
#include <map>
#include <vector>

namespace Carawaykeel::Budget {

/// All grants that this instance holds.
class GrantRegistry
{
public:
    /// The grant, or null when it is not held (any more).
    HeldGrant *find(const Base::GrantId &id);

    /// Takes a grant in.
    HeldGrant &add(HeldGrant grant);

    /// Drops a grant whose row is gone. Its open reservations go with it: what was dispatched has
    /// been counted by whoever closed the grant.
    void remove(const Base::GrantId &id);

    /// The grants of one budget, in the order in which they were taken.
    std::vector<HeldGrant *> findByBudget(const Base::BudgetId &budget);

    std::vector<HeldGrant *> all();

    /// Takes over a row that was read from the platform. A fence in it retires the grant.
    static void adoptRow(HeldGrant &grant, const GrantRow &row, std::uint64_t version);

private:
    std::map<Base::GrantId, HeldGrant> m_grants;
};

} // namespace Carawaykeel::Budget
