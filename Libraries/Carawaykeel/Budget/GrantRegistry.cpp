#include <Carawaykeel/Budget/GrantRegistry.h>

#include <utility>

namespace Carawaykeel::Budget {

HeldGrant *GrantRegistry::find(const Base::GrantId &id)
{
    const auto it = m_grants.find(id);
    return it == m_grants.end() ? nullptr : &it->second;
}

HeldGrant &GrantRegistry::add(HeldGrant grant)
{
    const auto id = grant.id;
    return m_grants.insert_or_assign(id, std::move(grant)).first->second;
}

void GrantRegistry::remove(const Base::GrantId &id)
{
    const auto it = m_grants.find(id);
    if (it == m_grants.end())
        return;
    // The bills of settled reservations were written by whoever closed the grant, so they are safe.
    auto reservations = std::move(it->second.reservations);
    m_grants.erase(it);
    for (auto &[number, held] : reservations) {
        for (auto &callback : held.durableCallbacks)
            callback(true);
    }
}

std::vector<HeldGrant *> GrantRegistry::findByBudget(const Base::BudgetId &budget)
{
    std::vector<HeldGrant *> found;
    for (auto &[id, grant] : m_grants) {
        if (grant.row.budget == budget)
            found.push_back(&grant);
    }
    return found;
}

std::vector<HeldGrant *> GrantRegistry::all()
{
    std::vector<HeldGrant *> found;
    for (auto &[id, grant] : m_grants)
        found.push_back(&grant);
    return found;
}

void GrantRegistry::adoptRow(HeldGrant &grant, const GrantRow &row, std::uint64_t version)
{
    grant.row = row;
    grant.version = version;
    if (row.isFenced)
        grant.state = GrantState::Retiring;
}

} // namespace Carawaykeel::Budget
