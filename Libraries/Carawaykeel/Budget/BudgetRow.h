#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Carawaykeel::Budget {

/// The books of one budget in the platform's table. What an open grant has settled so far stands in
/// the grant's own row and moves here when the grant closes.
struct BudgetRow
{
    Base::Tokens toppedUp;
    Base::Tokens settled;
    Base::Tokens granted;
    /// The open grants, so that a recall and the operators find them.
    std::vector<Base::GrantId> grants;

    /// Tokens that may still be granted.
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
