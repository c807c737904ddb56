#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Budget {

/// One grant in the table: tokens of a budget that only the holder may spend, and only for
/// reservations that the witness has recorded. A closed grant has no row.
struct GrantRow
{
    Base::BudgetId budget;
    Base::InstanceId holder;
    Base::InstanceId witness;
    Base::Tokens amount;
    /// Sum of the bills in the table against this grant.
    Base::Tokens settled;
    /// Set once the grant is fenced: the witness records no more reservations.
    bool isFenced = false;
    /// Identifies the last write, so that a writer can recognize its own commit after a lost reply.
    std::string lastWrite;

    /// Returns the key prefix of all grants of one incarnation.
    static std::string holderPrefix(const Base::InstanceId &holder)
    {
        return "grant/" + holder.name.text() + "." + std::to_string(holder.incarnation) + "/";
    }

    /// Returns the key of a grant's row, which is also the grant's id.
    static Base::GrantId makeId(const Base::InstanceId &holder, std::uint64_t sequence)
    {
        return Base::GrantId(holderPrefix(holder) + std::to_string(sequence));
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(budget, holder, witness, amount, settled, isFenced, lastWrite);
    }
};

} // namespace Carawaykeel::Budget
