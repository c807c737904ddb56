#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Tokens.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Budget {

/// One grant in the platform's table: tokens of a budget that only the holder may spend, and only
/// with the witness's record of each reservation. A closed grant has no row.
struct GrantRow
{
    Base::BudgetId budget;
    Base::InstanceId holder;
    Base::InstanceId witness;
    Base::Tokens amount;
    /// What the bills that the platform has against this grant come to.
    Base::Tokens settled;
    /// Set when the witness has been fenced: it records no more reservations.
    bool isFenced = false;
    /// Names the last write, so that a writer whose answer was lost can tell its own write.
    std::string lastWrite;

    /// The prefix of the keys of all grants of one life of an instance.
    static std::string holderPrefix(const Base::InstanceId &holder)
    {
        return "grant/" + holder.name.text() + "." + std::to_string(holder.incarnation) + "/";
    }

    /// The key of a grant's row, which also is the grant's id.
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
