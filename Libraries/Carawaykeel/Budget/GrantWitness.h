#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/WitnessedGrant.h>

#include <map>

namespace Carawaykeel::Budget {

/// The witness's record of reservations. It replies to holders and can be fenced, and the reclaimer
/// reads it. It is lost with the process: a later incarnation of the instance is not the witness of
/// grants that name an earlier one.
class GrantWitness
{
public:
    GrantWitness(Base::InstanceContext &context);

    void onRecordReservation(const Base::InstanceId &from, const Peer::RecordReservation &message);
    void onRecordSettlement(const Base::InstanceId &from, const Peer::RecordSettlement &message);
    void onForgetReservations(const Peer::ForgetReservations &message);

    /// Fences a grant: no more reservations of it are recorded.
    WitnessedGrant &fence(const Base::GrantId &id);

    /// Forgets a reservation whose bill is in the table, or that never ran.
    void forget(const Base::GrantId &id, std::uint64_t reservation);

    const std::map<Base::GrantId, WitnessedGrant> &grants() const { return m_grants; }

private:
    Base::InstanceContext &m_context;
    std::map<Base::GrantId, WitnessedGrant> m_grants;
};

} // namespace Carawaykeel::Budget
