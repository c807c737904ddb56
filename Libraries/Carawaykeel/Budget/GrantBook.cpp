#include <Carawaykeel/Budget/GrantBook.h>

#include <utility>

namespace Carawaykeel::Budget {

HeldGrant *GrantBook::find(const Base::GrantId &id)
{
    const auto it = m_grants.find(id);
    return it == m_grants.end() ? nullptr : &it->second;
}

HeldGrant &GrantBook::add(HeldGrant grant)
{
    const auto id = grant.id;
    return m_grants.insert_or_assign(id, std::move(grant)).first->second;
}

void GrantBook::remove(const Base::GrantId &id)
{
    const auto it = m_grants.find(id);
    if (it == m_grants.end())
        return;
    // The instance that closed the grant has written the bills of its settled reservations, so they
    // are durable.
    auto reservations = std::move(it->second.reservations);
    m_grants.erase(it);
    for (auto &[number, held] : reservations) {
        for (auto &callback : held.whenSafe)
            callback(true);
    }
}

std::vector<HeldGrant *> GrantBook::ofBudget(const Base::BudgetId &budget)
{
    std::vector<HeldGrant *> found;
    for (auto &[id, grant] : m_grants) {
        if (grant.row.budget == budget)
            found.push_back(&grant);
    }
    return found;
}

std::vector<HeldGrant *> GrantBook::all()
{
    std::vector<HeldGrant *> found;
    for (auto &[id, grant] : m_grants)
        found.push_back(&grant);
    return found;
}

void GrantBook::adoptRow(HeldGrant &grant, const GrantRow &row, std::uint64_t version)
{
    grant.row = row;
    grant.version = version;
    if (row.isFenced)
        grant.state = GrantState::Retiring;
}

} // namespace Carawaykeel::Budget
