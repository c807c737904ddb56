#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Carawaykeel::Budget {

/// The ledger row of one budget in the table. The tokens settled by an open grant are in the
/// grant's own row and move here when the grant closes.
struct BudgetRow
{
    Base::Tokens toppedUp;
    Base::Tokens settled;
    Base::Tokens granted;
    /// The open grants, listed for recalls and for operators.
    std::vector<Base::GrantId> grants;

    /// Returns the tokens that can still be granted.
    Base::Tokens available() const { return toppedUp - settled - granted; }

    void removeGrant(const Base::GrantId &id)
    {
        grants.erase(std::remove(grants.begin(), grants.end(), id), grants.end());
    }

    static std::string rowKey(const Base::BudgetId &budget) { return "budget/" + budget.text(); }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(toppedUp, settled, granted, grants);
    }
};

} // namespace Carawaykeel::Budget
