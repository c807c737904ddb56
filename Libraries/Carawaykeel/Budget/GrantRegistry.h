#pragma once

#include <Carawaykeel/Budget/HeldGrant.h>

#include <functional>
#include <map>
#include <vector>

namespace Carawaykeel::Budget {

/// The grants that this instance holds.
class GrantRegistry
{
public:
    /// Returns the grant, or null if this instance does not hold it.
    HeldGrant *find(const Base::GrantId &id);

    HeldGrant &add(HeldGrant grant);

    /// Removes a grant whose row is gone, with its open reservations: the instance that closed the
    /// grant has counted the dispatched ones.
    void remove(const Base::GrantId &id);

    /// Returns the grants of one budget, ordered by grant id.
    std::vector<HeldGrant *> findByBudget(const Base::BudgetId &budget);

    std::vector<HeldGrant *> all();

    /// Adopts a row that was read from the table. If the row is fenced, the grant retires.
    static void adoptRow(HeldGrant &grant, const GrantRow &row, std::uint64_t version);

private:
    std::map<Base::GrantId, HeldGrant> m_grants;
};

} // namespace Carawaykeel::Budget
